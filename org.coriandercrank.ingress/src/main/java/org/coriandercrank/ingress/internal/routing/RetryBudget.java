package org.coriandercrank.ingress.internal.routing;

import java.util.function.IntSupplier;
import org.coriandercrank.ingress.RetryBudgetOptions;

/**
 * A token bucket that limits retries to a share of the requests plus a small constant rate, so that retries cannot
 * amplify an overload. Not thread safe; the current time is passed as an argument.
 *
 * <p>The bucket starts full, so that a daemon that has just started can retry requests lost with a broken connection.
 * If all daemons share a limit on saved retries, the capacity of the bucket shrinks as their number grows.
 */
public final class RetryBudget {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Part of the saved retries that is kept for requests whose callers cannot return in time. */
    private static final double RESERVED_SHARE = 0.5;

    private final RetryBudgetOptions options;
    private final IntSupplier daemons;
    private double tokens;
    private long refilledAtNanos;

    /** @param daemons number of daemons that share the limit on saved retries */
    public RetryBudget(RetryBudgetOptions options, IntSupplier daemons, long nowNanos) {
        this.options = options;
        this.daemons = daemons;
        tokens = options.initialRetries(daemons.getAsInt());
        refilledAtNanos = nowNanos;
    }

    /** Adds the contribution of one request of a caller to the budget. */
    public void recordRequest() {
        addTokens(options.retriesPerRequest());
    }

    /**
     * Takes one retry from the budget. Returns false if less than one is left.
     *
     * @param callerCanReturn whether the caller can repeat the request itself within its latency objective; while the
     *     budget is short, it is kept for requests whose callers cannot, such as the calls that a running request makes
     */
    public boolean tryRetry(boolean callerCanReturn, long nowNanos) {
        double elapsedSeconds = Math.max(0, nowNanos - refilledAtNanos) / NANOS_PER_SECOND;
        addTokens(elapsedSeconds * options.retriesPerSecond());
        refilledAtNanos = nowNanos;
        double capacity = options.maxSavedRetries(daemons.getAsInt());
        double reserved = callerCanReturn ? Math.min(capacity - 1, RESERVED_SHARE * capacity) : 0;
        if (tokens < 1 + reserved) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    private void addTokens(double added) {
        tokens = Math.min(options.maxSavedRetries(daemons.getAsInt()), tokens + added);
    }
}
