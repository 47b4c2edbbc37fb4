package org.coriandercrank.ingress.internal.routing;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.ingress.IngressDependencies;
import org.coriandercrank.ingress.IngressOptions;
import org.coriandercrank.ingress.internal.balancing.Balancer;
import org.coriandercrank.kernel.time.TimerService.Subscription;

/**
 * State and collaborators shared by all requests of a daemon. Thread safe, except that the balancer and the retry
 * budgets are confined to the executor.
 */
public record DispatchContext(
        IngressDependencies dependencies,
        IngressOptions options,
        IngressExecutor executor,
        Balancer balancer,
        RetryBudgets retryBudgets,
        IngressMetrics metrics) {
    private static final long FULL_QUEUE_RETRY_MS = 1;

    /**
     * Runs a task on the executor. If the task queue is full, the task is retried by a timer, because a dropped task
     * could leave a request without an answer.
     */
    public void execute(Runnable task) {
        if (!executor.offer(task)) {
            dependencies.timers().once(FULL_QUEUE_RETRY_MS, executor, task);
        }
    }

    /** Runs a task on the executor after a delay; a negative delay counts as 0. */
    Subscription schedule(long delayMs, Runnable task) {
        return dependencies.timers().once(Math.max(0, delayMs), executor, task);
    }

    /**
     * Returns the fields of a log line about a request that tell by which configuration it was decided, and how long ago
     * the configuration in force was known to be the newest.
     *
     * @param version version of the configuration by which the request was parsed
     */
    public String configurationFields(long version) {
        OptionalLong proofAgeMs = dependencies.configurationProof().ageMs();
        return " configurationVersion=" + version + " configurationProofMs="
                + (proofAgeMs.isPresent() ? Long.toString(proofAgeMs.getAsLong()) : "none");
    }

    long nowNanos() {
        return dependencies.timers().clock().nowNanos();
    }

    /** Time of the clock that includes the time in which the host is suspended. */
    long suspensionAwareNanos() {
        return dependencies.suspensionAwareClock().nowNanos();
    }

    /** Time until a deadline, rounded down to milliseconds; 0 if it has passed. */
    long msUntil(long deadlineNanos) {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - nowNanos()));
    }
}
