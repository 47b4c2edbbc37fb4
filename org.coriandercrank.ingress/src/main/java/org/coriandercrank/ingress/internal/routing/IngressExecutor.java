package org.coriandercrank.ingress.internal.routing;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.coriandercrank.kernel.concurrent.SerialExecutor;

/**
 * The ingress executor. Passes tasks to a serial executor until it is closed, and drops tasks afterwards. Thread safe.
 *
 * <p>Tasks are dropped rather than rejected after the close, because the timer service retries rejected tasks and would
 * never stop.
 */
public final class IngressExecutor implements Executor, AutoCloseable {
    private final SerialExecutor executor;
    private volatile boolean closed;

    public IngressExecutor(SerialExecutor executor) {
        this.executor = executor;
    }

    /**
     * Queues a task.
     *
     * @throws RejectedExecutionException if the task queue is full
     */
    @Override
    public void execute(Runnable task) {
        if (!closed) {
            executor.execute(task);
        }
    }

    /** Queues a task, or returns false if the task queue is full. */
    public boolean offer(Runnable task) {
        return closed || executor.offer(task);
    }

    @Override
    public void close() {
        closed = true;
        executor.close();
    }
}
