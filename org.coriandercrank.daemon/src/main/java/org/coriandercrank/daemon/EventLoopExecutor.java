package org.coriandercrank.daemon;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.coriandercrank.kernel.concurrent.SerialExecutor;

/**
 * Serial executor on the network event loop, for hosts on which waking up a thread costs more than running a task.
 *
 * <p>Thread safe. A task never runs within the call that offers it, so tasks of several executors on one event loop do
 * not interleave.
 */
final class EventLoopExecutor implements SerialExecutor {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final String name;
    private final EventLoop loop;
    private final int capacity;
    private final EventLoopMeter meter;
    private final AtomicInteger queuedTasks = new AtomicInteger();
    private volatile boolean closed;

    /** @param capacity maximum number of queued tasks */
    EventLoopExecutor(String name, EventLoop loop, int capacity, EventLoopMeter meter) {
        this.name = name;
        this.loop = loop;
        this.capacity = capacity;
        this.meter = meter;
    }

    @Override
    public boolean offer(Runnable task) {
        if (closed || queuedTasks.incrementAndGet() > capacity) {
            if (!closed) {
                queuedTasks.decrementAndGet();
            }
            return false;
        }
        try {
            loop.execute(() -> run(task));
        } catch (RejectedExecutionException e) {
            logger.atFine().withCause(e).log("event=duty-ended duty=%s", name);
            queuedTasks.decrementAndGet();
            return false;
        }
        return true;
    }

    private void run(Runnable task) {
        queuedTasks.decrementAndGet();
        long startNanos = meter.nowNanos();
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            logger.atSevere().withCause(e).log("event=task-failed duty=%s", name);
        }
        meter.onTaskEnd(name, meter.nowNanos() - startNanos);
    }

    @Override
    public void execute(Runnable task) {
        if (!offer(task)) {
            throw new RejectedExecutionException(name + ": the task queue is full or the executor is closed");
        }
    }

    @Override
    public void close() {
        closed = true;
    }
}
