package org.coriandercrank.kernel.concurrent;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;

/**
 * Serial executor on a thread of its own, with a bounded queue of tasks.
 *
 * <p>Thread safe: any thread may offer tasks. A task that throws, also an {@link Error}, is logged and does not end the
 * thread.
 */
public final class SingleThreadExecutor implements SerialExecutor {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Number of polls of an empty queue before the thread parks. */
    private static final int SPINS_BEFORE_PARK = 100;

    private static final long MAX_PARK_NANOS = 1_000_000_000;
    private static final long CLOSE_TIMEOUT_MS = 2_000;

    private final MpscArrayQueue<Runnable> tasks;
    private final Thread thread;
    /**
     * Number of threads in {@link #offer}. The thread ends only while this is 0, so that no accepted task is left in
     * the queue.
     */
    private final AtomicInteger offersInProgress = new AtomicInteger();

    private volatile boolean closed;
    private volatile boolean parked;

    public SingleThreadExecutor(String name, int capacity) {
        tasks = new MpscArrayQueue<>(capacity);
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public boolean offer(Runnable task) {
        offersInProgress.incrementAndGet();
        try {
            if (closed || !tasks.offer(task)) {
                return false;
            }
        } finally {
            offersInProgress.decrementAndGet();
        }
        if (parked) {
            LockSupport.unpark(thread);
        }
        return true;
    }

    /** Queues a task; throws {@link RejectedExecutionException} if the queue is full or the executor is closed. */
    @Override
    public void execute(Runnable task) {
        if (!offer(task)) {
            throw new RejectedExecutionException(
                    thread.getName() + ": the task queue is full or the executor is closed");
        }
    }

    /** Whether the calling thread is the thread of this executor. */
    public boolean isCurrentThread() {
        return Thread.currentThread() == thread;
    }

    private void run() {
        int idleSpins = 0;
        while (true) {
            Runnable task = tasks.poll();
            if (task != null) {
                idleSpins = 0;
                runLoggingFailure(task);
            } else if (closed) {
                if (offersInProgress.get() == 0 && tasks.isEmpty()) {
                    return;
                }
                Thread.onSpinWait();
            } else if (idleSpins < SPINS_BEFORE_PARK) {
                idleSpins++;
                Thread.onSpinWait();
            } else {
                park();
            }
        }
    }

    private void park() {
        parked = true;
        if (tasks.isEmpty() && !closed) {
            LockSupport.parkNanos(this, MAX_PARK_NANOS);
        }
        parked = false;
    }

    private void runLoggingFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            logger.atSevere().withCause(e).log("event=task-failed duty=%s", thread.getName());
        }
    }

    /**
     * Runs the tasks already queued, then ends the thread. Waits for its end for at most 2 s, and not at all if called
     * from the thread itself.
     */
    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
        if (isCurrentThread()) {
            return;
        }
        try {
            thread.join(CLOSE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
