package org.coriandercrank.daemon;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.coriandercrank.kernel.concurrent.SerialExecutor;

/**
 * A duty on the event loop of the network, for hosts on which each wake-up of a thread costs more than the work of a task.
 *
 * <p>Thread safe. A task never runs within the call that offers it, so tasks of several duties do not interleave.
 */
public final class EventLoopExecutor implements SerialExecutor {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final String name;
    private final EventLoop loop;
    private final int capacity;
    private final AtomicInteger waiting = new AtomicInteger();
    private volatile boolean closed;

    public EventLoopExecutor(String name, EventLoop loop, int capacity) {
        this.name = name;
        this.loop = loop;
        this.capacity = capacity;
    }

    @Override
    public boolean offer(Runnable task) {
        if (closed || waiting.incrementAndGet() > capacity) {
            if (!closed) {
                waiting.decrementAndGet();
            }
            return false;
        }
        try {
            loop.execute(() -> run(task));
        } catch (RejectedExecutionException e) {
            logger.atFine().withCause(e).log("event=duty-ended duty=%s", name);
            waiting.decrementAndGet();
            return false;
        }
        return true;
    }

    private void run(Runnable task) {
        waiting.decrementAndGet();
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            logger.atSevere().withCause(e).log("event=task-failed duty=%s", name);
        }
    }

    @Override
    public void execute(Runnable task) {
        if (!offer(task)) {
            throw new RejectedExecutionException(name + " takes no task");
        }
    }

    @Override
    public void close() {
        closed = true;
    }
}
