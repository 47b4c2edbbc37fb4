package org.coriandercrank.kernel.concurrent;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Supplier;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;

/**
 * Executor of one component of a daemon. It runs tasks one at a time, in the order in which they were offered, from a
 * bounded queue.
 *
 * <p>Implementations are thread safe. Only tasks of the executor access the state of the component, which therefore
 * needs no locks. An exception that a task throws is logged, and the executor continues with the next task. A task
 * whose offer returned true is run even if the executor is closed in the meantime.
 */
public interface SerialExecutor extends Executor, AutoCloseable {
    /** Creates the executors of a process. */
    @FunctionalInterface
    interface Factory {
        /** @param capacity maximum number of queued tasks */
        SerialExecutor create(String name, int capacity);
    }

    /** Queues a task; returns false if the queue is full or the executor is closed. */
    boolean offer(Runnable task);

    /** Queues a task; throws {@link RejectedExecutionException} if the queue is full or the executor is closed. */
    @Override
    void execute(Runnable task);

    /** Queues a task and returns its result; the future fails with {@code OVERLOADED} if the task was not accepted. */
    default <T> CompletableFuture<T> call(Supplier<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        boolean queued = offer(() -> {
            try {
                result.complete(task.get());
            } catch (RuntimeException | Error e) {
                result.completeExceptionally(e);
            }
        });
        if (!queued) {
            result.completeExceptionally(
                    new CrankException(ResultCode.OVERLOADED, "the task queue is full or the executor is closed"));
        }
        return result;
    }

    /** Rejects further tasks; the tasks already queued are run. */
    @Override
    void close();
}
