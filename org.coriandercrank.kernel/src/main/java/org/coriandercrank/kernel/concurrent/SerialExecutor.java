package org.coriandercrank.kernel.concurrent;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Supplier;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;

/**
 * Runs the tasks of one part of a daemon one at a time, in the order in which they were offered.
 *
 * <p>Implementations are thread safe. State of the part is touched only by its tasks. A task that throws is logged and
 * does not end the duty. A task whose offer returned true runs, also if the duty is closed meanwhile.
 */
public interface SerialExecutor extends Executor, AutoCloseable {
    /** Makes the duties of a process. */
    @FunctionalInterface
    interface Factory {
        /** @param capacity tasks that may wait */
        SerialExecutor create(String name, int capacity);
    }

    /** Queues a task; false if the duty is full or closed. */
    boolean offer(Runnable task);

    /** Queues a task; throws {@link RejectedExecutionException} if the duty is full or closed. */
    @Override
    void execute(Runnable task);

    /** Runs a task on the duty; the future fails with {@code OVERLOADED} if the duty is full. */
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
            result.completeExceptionally(new CrankException(ResultCode.OVERLOADED, "the duty takes no task"));
        }
        return result;
    }

    /** Takes no further tasks; those already queued run. */
    @Override
    void close();
}
