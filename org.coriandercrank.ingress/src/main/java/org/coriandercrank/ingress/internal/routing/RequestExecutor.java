package org.coriandercrank.ingress.internal.routing;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.coriandercrank.kernel.concurrent.SerialExecutor;

/**
 * Executes tasks on the ingress duty until it is closed, and drops them afterwards. Thread safe.
 *
 * <p>The timer service repeats rejected tasks; without the drop it would repeat those of a closed duty for ever.
 */
public final class RequestExecutor implements Executor, AutoCloseable {
    private final SerialExecutor duty;
    private volatile boolean closed;

    public RequestExecutor(SerialExecutor duty) {
        this.duty = duty;
    }

    /** Throws {@link RejectedExecutionException} if the ring is full. */
    @Override
    public void execute(Runnable task) {
        if (!closed) {
            duty.execute(task);
        }
    }

    /** Queues a task; false if the ring is full. */
    public boolean offer(Runnable task) {
        return closed || duty.offer(task);
    }

    @Override
    public void close() {
        closed = true;
        duty.close();
    }
}
