package org.coriandercrank.gate.internal;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * Token bucket that keeps the requests to a backend server within the rate that the server states. Not thread safe.
 *
 * <p>Each daemon is the only path to its server, so the rate that one gate sends is the rate that the server gets from
 * all daemons together. In any span of time the server gets at most its stated rate and a quarter of a second's burst
 * more.
 */
final class RequestRateLimiter {
    private static final double BURST_S = 0.25;

    /** Lowest rate, also under a stated limit of 0, because only a response shows that the limit has ended. */
    private static final double MIN_REQUESTS_PER_SECOND = 0.5;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double MS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);

    private OptionalDouble requestsPerSecond = OptionalDouble.empty();
    private double tokens = 1;
    private long updatedAtNanos;

    /** Adopts the latest statement of the server and adds the tokens of the time since the last update. */
    void update(OptionalDouble stated, long nowNanos) {
        double earnedTokens = requestsPerSecond.orElse(0) * (nowNanos - updatedAtNanos) / NANOS_PER_SECOND;
        requestsPerSecond = stated.isPresent()
                ? OptionalDouble.of(Math.max(MIN_REQUESTS_PER_SECOND, stated.getAsDouble()))
                : OptionalDouble.empty();
        tokens = Math.min(Math.max(1, BURST_S * requestsPerSecond.orElse(0)), tokens + earnedTokens);
        updatedAtNanos = nowNanos;
    }

    /** Removes all tokens, which another sender may have spent. */
    void clear() {
        tokens = 0;
    }

    /** The rate in effect; empty if the server states none. */
    OptionalDouble requestsPerSecond() {
        return requestsPerSecond;
    }

    boolean maySend() {
        return requestsPerSecond.isEmpty() || tokens >= 1;
    }

    void onSend() {
        if (requestsPerSecond.isPresent()) {
            tokens--;
        }
    }

    /** Time in milliseconds until a request may be sent that has a number of requests before it. */
    long waitMs(long requestsAhead) {
        return requestsPerSecond.isEmpty()
                ? 0
                : (long) Math.max(
                        0, Math.ceil((requestsAhead + 1 - tokens) / requestsPerSecond.getAsDouble() * MS_PER_SECOND));
    }
}
