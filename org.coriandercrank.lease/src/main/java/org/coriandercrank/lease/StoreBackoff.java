package org.coriandercrank.lease;

import java.util.Random;

/**
 * Exponential backoff for the store operations of a holder or taker.
 *
 * <p>The delay doubles with each failure up to the TTL. Up to half of it is taken off at random, so that daemons do not
 * retry at the same time; the seed keeps the state machines deterministic. Not thread safe.
 */
final class StoreBackoff {
    /** The initial delay is the TTL divided by this number. */
    private static final int INITIAL_DELAYS_PER_TTL = 16;

    /** Largest fraction that is taken off a delay. */
    private static final double JITTER = 0.5;

    private final LeaseTiming timing;
    private final Random random;
    private long dueNanos;
    private long delayNanos;

    StoreBackoff(LeaseTiming timing, long nowNanos, long seed) {
        this.random = new Random(seed);
        this.timing = timing;
        this.dueNanos = nowNanos;
        this.delayNanos = timing.ttlNanos() / INITIAL_DELAYS_PER_TTL;
    }

    boolean isDue(long nowNanos) {
        return nowNanos - dueNanos >= 0;
    }

    void failed(long nowNanos) {
        dueNanos = nowNanos + (long) (delayNanos * (1 - JITTER * random.nextDouble()));
        delayNanos = Math.min(2 * delayNanos, timing.ttlNanos());
    }

    /** Brings the next operation forward, so that it is due after the given delay at the latest. */
    void limitDelay(long maxDelayNanos, long nowNanos) {
        dueNanos = Nanos.earlier(dueNanos, nowNanos + maxDelayNanos);
    }

    void succeeded(long nowNanos) {
        dueNanos = nowNanos;
        delayNanos = timing.ttlNanos() / INITIAL_DELAYS_PER_TTL;
    }
}
