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
import org.coriandercrank.kernel.time.Stopwatch;

/**
 * Dependencies, options and helper functions that the components of a gate share. Thread safe.
 *
 * @param executor runs the tasks of the gate one at a time
 * @param closed whether the gate was closed, so that results of calls can be discarded
 */
public record GateContext(
        GateDependencies dependencies,
        GateOptions options,
        Executor executor,
        GateMetrics metrics,
        BooleanSupplier closed) {
    private static final long REJECTED_TASK_RETRY_MS = 1;

    public long nowNanos() {
        return dependencies.timers().clock().nowNanos();
    }

    public boolean isLeaseValid() {
        return dependencies.lease().isValid(nowNanos());
    }

    /** Time until the lease expires in milliseconds; not positive if it has expired. */
    public long leaseRemainingMs() {
        return TimeUnit.NANOSECONDS.toMillis(dependencies.lease().validUntilNanos() - nowNanos());
    }

    /** Starts to measure a time on the clock of the lease. */
    public Stopwatch startLeaseStopwatch() {
        return Stopwatch.start(dependencies.leaseClock());
    }

    public RoutingSnapshot routing() {
        return dependencies.routingView().current();
    }

    /** Configuration of the service; the default values while the configuration does not contain the service. */
    public ServiceConfig serviceConfig() {
        return routing()
                .configuration()
                .service(dependencies.service())
                .orElseGet(() -> ServiceConfig.withDefaults(dependencies.service(), true));
    }

    public void logDecision(Supplier<String> line) {
        dependencies.decisionLog().log(line);
    }

    /**
     * Starts an asynchronous call and handles its result on the thread of the gate. If the task queue of the gate is
     * full, queueing the result is repeated until it succeeds or the gate is closed. No result may be lost, because the
     * call of a request keeps its slot until its result is handled.
     */
    public <T> void call(Supplier<CompletableFuture<T>> call, BiConsumer<T, Throwable> onResult) {
        CompletableFuture<T> result;
        try {
            result = call.get();
        } catch (RuntimeException e) {
            result = CompletableFuture.failedFuture(e);
        }
        result.whenComplete((value, failure) -> runOnGateThread(() -> onResult.accept(value, failure)));
    }

    private void runOnGateThread(Runnable task) {
        try {
            executor.execute(task);
        } catch (RejectedExecutionException e) {
            if (!closed.getAsBoolean()) {
                dependencies.timers().once(REJECTED_TASK_RETRY_MS, this::runOnGateThread, task);
            }
        }
    }
}
