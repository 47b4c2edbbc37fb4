package org.coriandercrank.kernel.concurrent;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;

/**
 * A thread with one duty, fed by a bounded ring of tasks.
 *
 * <p>Thread safe: any thread may offer tasks. Tasks run one at a time, in the order of the ring; state of the duty is
 * touched only by them. A task that throws, also an {@link Error}, is logged and does not end the thread. A task whose
 * offer returned true runs, also if the duty is closed meanwhile.
 */
public final class SingleThreadExecutor implements SerialExecutor {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int SPINS_BEFORE_PARK = 100;
    private static final long PARK_NANOS = 1_000_000_000;
    private static final long CLOSE_WAIT_MS = 2_000;

    private final MpscArrayQueue<Runnable> ring;
    private final Thread thread;
    /** Offers in progress; the thread ends only when there are none, so that no accepted task stays in the ring. */
    private final AtomicInteger offering = new AtomicInteger();

    private volatile boolean closed;
    private volatile boolean parked;

    public SingleThreadExecutor(String name, int ringCapacity) {
        ring = new MpscArrayQueue<>(ringCapacity);
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public boolean offer(Runnable task) {
        offering.incrementAndGet();
        try {
            if (closed || !ring.offer(task)) {
                return false;
            }
        } finally {
            offering.decrementAndGet();
        }
        if (parked) {
            LockSupport.unpark(thread);
        }
        return true;
    }

    /** Queues a task; throws {@link RejectedExecutionException} if the ring is full or the duty is closed. */
    @Override
    public void execute(Runnable task) {
        if (!offer(task)) {
            throw new RejectedExecutionException(thread.getName() + " takes no task");
        }
    }

    /** Whether the calling thread is the thread of this duty. */
    public boolean isCurrentThread() {
        return Thread.currentThread() == thread;
    }

    private void run() {
        int idleSpins = 0;
        while (true) {
            Runnable task = ring.poll();
            if (task != null) {
                idleSpins = 0;
                runSafely(task);
            } else if (closed) {
                if (offering.get() == 0 && ring.isEmpty()) {
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
        if (ring.isEmpty() && !closed) {
            LockSupport.parkNanos(this, PARK_NANOS);
        }
        parked = false;
    }

    private void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            logger.atSevere().withCause(e).log("event=task-failed duty=%s", thread.getName());
        }
    }

    /** Runs the tasks already queued, then ends the thread; waits at most 2 s. */
    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
        if (isCurrentThread()) {
            return;
        }
        try {
            thread.join(CLOSE_WAIT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
