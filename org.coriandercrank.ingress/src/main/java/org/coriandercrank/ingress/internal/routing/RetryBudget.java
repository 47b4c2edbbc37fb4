package org.coriandercrank.ingress.internal.routing;

/**
 * Bounds retries to a share of the requests plus a small rate, so that retries cannot multiply an overload. Starts full,
 * so that a daemon that just started can repeat what a lost link took. Not thread safe; time is an argument.
 */
public final class RetryBudget {
    private static final double BURST_SECONDS = 2;
    private static final double PERCENT = 100;
    private static final double NANOS_PER_SECOND = 1e9;
    /** Tokens that requests may save up; ten seconds' worth of retries at 100 requests/s and 10%. */
    private static final double MAX_SAVED_TOKENS = 100;

    private final double tokensPerRequest;
    private final double tokensPerSecond;
    private final double maxTokens;
    private double tokens;
    private long refilledAtNanos;

    public RetryBudget(int percent, int minPerSecond, long nowNanos) {
        tokensPerRequest = percent / PERCENT;
        tokensPerSecond = minPerSecond;
        maxTokens = minPerSecond * BURST_SECONDS + (percent > 0 ? MAX_SAVED_TOKENS : 0);
        tokens = maxTokens;
        refilledAtNanos = nowNanos;
    }

    /** Counts a request of a caller. */
    public void request() {
        tokens = Math.min(maxTokens, tokens + tokensPerRequest);
    }

    /** Takes a retry from the budget; false if it is empty. */
    public boolean tryRetry(long nowNanos) {
        double elapsedSeconds = Math.max(0, nowNanos - refilledAtNanos) / NANOS_PER_SECOND;
        tokens = Math.min(maxTokens, tokens + elapsedSeconds * tokensPerSecond);
        refilledAtNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
