package org.coriandercrank.control.internal;

import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.coriandercrank.control.ControlDependencies;
import org.coriandercrank.control.ControlOptions;
import org.coriandercrank.control.HostIdentity;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.time.TimerService;
import org.coriandercrank.lease.EraTransition;

/**
 * Shared context of the components of the control plane. Thread safe, except for {@link #random} and {@link #eras},
 * which only the control thread uses.
 *
 * @param executor runs tasks one at a time; its thread is the control thread
 */
public record ControlContext(
        ControlOptions options,
        HostIdentity identity,
        ControlDependencies dependencies,
        Executor executor,
        Random random,
        EraTransition eras) {
    private static final long REJECTED_RETRY_MS = 5;

    /** Largest deviation from a mean delay, as a fraction of it. */
    private static final double JITTER = 0.5;

    public ControlContext(
            ControlOptions options,
            HostIdentity identity,
            ControlDependencies dependencies,
            Executor executor,
            Random random) {
        this(
                options,
                identity,
                dependencies,
                executor,
                random,
                new EraTransition(options.leaseTiming(), options.eraSpreadNanos()));
    }

    /** Returns the time of the clock of the timers. */
    public long nowNanos() {
        return dependencies.timers().clock().nowNanos();
    }

    /** Returns the time of the clock that measures the own lease. */
    public long leaseNowNanos() {
        return dependencies.leaseClock().nowNanos();
    }

    /**
     * Runs a task on the control thread. A task that is rejected because the task queue is full is retried after a
     * delay, because other components wait for its effect.
     */
    public void execute(Runnable task) {
        try {
            executor.execute(task);
        } catch (RejectedExecutionException e) {
            dependencies.timers().once(REJECTED_RETRY_MS, executor, task);
        }
    }

    /**
     * Computes a result on the control thread. The future fails with {@code OVERLOADED} if the task queue is full.
     */
    public <T> CompletableFuture<T> submit(Supplier<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        try {
            executor.execute(() -> {
                try {
                    result.complete(task.get());
                } catch (RuntimeException e) {
                    result.completeExceptionally(e);
                }
            });
        } catch (RejectedExecutionException e) {
            result.completeExceptionally(
                    new CrankException(ResultCode.OVERLOADED, "the control thread rejected the task", e));
        }
        return result;
    }

    /**
     * Makes a call from the control thread and passes its result to the callback on the same thread, exactly once:
     * either the value or a failure. The failure is {@code CALL_TIMEOUT} if there is no result before the timeout.
     */
    public <T> void callWithTimeout(
            Supplier<CompletableFuture<T>> call, long timeoutMs, BiConsumer<T, CrankException> callback) {
        startCall(call, timeoutMs, callback);
    }

    /**
     * Makes a call as {@link #callWithTimeout} does.
     *
     * @return cancels the call, whose callback is then not called; control thread only
     */
    public <T> Runnable startCall(
            Supplier<CompletableFuture<T>> call, long timeoutMs, BiConsumer<T, CrankException> callback) {
        PendingCall<T> pending = new PendingCall<>(callback);
        TimerService.Subscription timeout = dependencies.timers().once(timeoutMs, executor, pending::timeOut);
        CompletableFuture<T> future;
        try {
            future = call.get();
        } catch (RuntimeException e) {
            future = CompletableFuture.failedFuture(e);
        }
        CompletableFuture<T> started = future;
        started.whenComplete((value, failure) -> {
            timeout.cancel();
            execute(() -> pending.complete(value, failure));
        });
        return () -> {
            pending.discard();
            started.cancel(false);
        };
    }

    /** Returns a random delay between half and one and a half times the mean. */
    public long jitteredMs(long meanMs) {
        return (long) (meanMs * (1 - JITTER + 2 * JITTER * random.nextDouble()));
    }

    public void log(Supplier<String> line) {
        dependencies.decisionLog().log(line);
    }

    /** Passes the result or the timeout, whichever comes first, to the callback. Control thread only. */
    private static final class PendingCall<T> {
        private final BiConsumer<T, CrankException> callback;
        private boolean completed;

        PendingCall(BiConsumer<T, CrankException> callback) {
            this.callback = callback;
        }

        void timeOut() {
            complete(null, new CrankException(ResultCode.CALL_TIMEOUT, "the call timed out"));
        }

        void discard() {
            completed = true;
        }

        void complete(T value, Throwable failure) {
            if (!completed) {
                completed = true;
                callback.accept(value, failure == null ? null : CrankException.of(failure));
            }
        }
    }
}
