package org.coriandercrank.gate.internal;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.coriandercrank.gate.GateDependencies;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;

/**
 * What the parts of a gate share. Thread safe.
 *
 * @param duty runs the tasks of the gate one at a time
 * @param closed whether the gate was closed and results are of no use any more
 */
public record GateRuntime(
        GateDependencies inputs, GateOptions options, Executor duty, GateMetrics metrics, BooleanSupplier closed) {
    private static final long REJECTED_RETRY_MS = 1;

    public long nowNanos() {
        return inputs.timers().clock().nowNanos();
    }

    public boolean isLeaseValid() {
        return inputs.lease().isValid(nowNanos());
    }

    public long leaseRemainingMs() {
        return TimeUnit.NANOSECONDS.toMillis(inputs.lease().validUntilNanos() - nowNanos());
    }

    public RoutingSnapshot routing() {
        return inputs.routing().current();
    }

    /** Rules of the service; those by default while the configuration has none. */
    public ServiceConfig rules() {
        return routing()
                .configuration()
                .service(inputs.service())
                .orElseGet(() -> ServiceConfig.withDefaults(inputs.service(), true));
    }

    public void logDecision(Supplier<String> line) {
        inputs.decisions().log(line);
    }

    /** Starts a call and brings its result onto the thread of the gate; the result is never dropped. */
    public <T> void call(Supplier<CompletableFuture<T>> call, BiConsumer<T, Throwable> onResult) {
        CompletableFuture<T> result;
        try {
            result = call.get();
        } catch (RuntimeException e) {
            result = CompletableFuture.failedFuture(e);
        }
        result.whenComplete((value, failure) -> post(() -> onResult.accept(value, failure)));
    }

    private void post(Runnable task) {
        try {
            duty.execute(task);
        } catch (RejectedExecutionException e) {
            if (!closed.getAsBoolean()) {
                inputs.timers().once(REJECTED_RETRY_MS, this::post, task);
            }
        }
    }
}
