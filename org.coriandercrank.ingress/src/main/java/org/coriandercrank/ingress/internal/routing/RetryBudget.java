package org.coriandercrank.ingress.internal.routing;

import org.coriandercrank.ingress.RetryBudgetOptions;

/**
 * A token bucket that limits retries to a share of the requests plus a small constant rate, so that retries cannot
 * amplify an overload. Not thread safe; the current time is passed as an argument.
 *
 * <p>The bucket starts full, so that a daemon that has just started can retry requests lost with a broken connection.
 */
public final class RetryBudget {
    private static final double NANOS_PER_SECOND = 1e9;

    private final RetryBudgetOptions options;
    private double tokens;
    private long refilledAtNanos;

    public RetryBudget(RetryBudgetOptions options, long nowNanos) {
        this.options = options;
        tokens = options.maxSavedRetries();
        refilledAtNanos = nowNanos;
    }

    /** Adds the contribution of one request of a caller to the budget. */
    public void recordRequest() {
        tokens = Math.min(options.maxSavedRetries(), tokens + options.retriesPerRequest());
    }

    /** Takes one retry from the budget. Returns false if less than one is left. */
    public boolean tryRetry(long nowNanos) {
        double elapsedSeconds = Math.max(0, nowNanos - refilledAtNanos) / NANOS_PER_SECOND;
        tokens = Math.min(options.maxSavedRetries(), tokens + elapsedSeconds * options.retriesPerSecond());
        refilledAtNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
