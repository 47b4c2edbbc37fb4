package org.coriandercrank.ingress.internal.routing;

import org.coriandercrank.ingress.RetryBudgetOptions;

/**
 * Bounds retries to a share of the requests plus a small rate, so that retries cannot multiply an overload. Starts full,
 * so that a daemon that just started can repeat what a lost link took. Not thread safe; time is an argument.
 */
public final class RetryBudget {
    private static final double NANOS_PER_SECOND = 1e9;

    private final RetryBudgetOptions rules;
    private double tokens;
    private long refilledAtNanos;

    public RetryBudget(RetryBudgetOptions rules, long nowNanos) {
        this.rules = rules;
        tokens = rules.maxSavedRetries();
        refilledAtNanos = nowNanos;
    }

    /** Counts a request of a caller. */
    public void request() {
        tokens = Math.min(rules.maxSavedRetries(), tokens + rules.retriesPerRequest());
    }

    /** Takes a retry from the budget; false if it is empty. */
    public boolean tryRetry(long nowNanos) {
        double elapsedSeconds = Math.max(0, nowNanos - refilledAtNanos) / NANOS_PER_SECOND;
        tokens = Math.min(rules.maxSavedRetries(), tokens + elapsedSeconds * rules.retriesPerSecond());
        refilledAtNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
