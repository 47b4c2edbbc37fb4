package org.coriandercrank.ingress.internal.routing;

import java.util.concurrent.TimeUnit;
import org.coriandercrank.ingress.IngressDependencies;
import org.coriandercrank.ingress.IngressOptions;
import org.coriandercrank.ingress.internal.balancing.Balancer;
import org.coriandercrank.kernel.time.TimerService.Subscription;

/** What all requests of a daemon share. The balancer and the budget are touched only on the duty. */
public record DispatchContext(
        IngressDependencies parts,
        IngressOptions options,
        RequestExecutor duty,
        Balancer balancer,
        RetryBudgets budgets,
        IngressMetrics metrics) {
    private static final long FULL_RING_RETRY_MS = 1;

    /** Runs a task on the duty; never drops it, since a dropped answer would leave its request without one. */
    void post(Runnable task) {
        if (!duty.offer(task)) {
            parts.timers().once(FULL_RING_RETRY_MS, duty, task);
        }
    }

    Subscription after(long delayMs, Runnable task) {
        return parts.timers().once(Math.max(0, delayMs), duty, task);
    }

    long nowNanos() {
        return parts.timers().clock().nowNanos();
    }

    long msUntil(long deadlineNanos) {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - nowNanos()));
    }
}
