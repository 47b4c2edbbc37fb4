package org.coriandercrank.lease;

import java.util.Random;

/**
 * Earliest time of the next store operation of a holder or taker. The wait doubles with each failure up to the TTL and
 * varies by half, so that daemons do not retry together; a seed keeps the state machines deterministic. Not thread safe.
 */
final class StoreBackoff {
    private static final int INITIAL_DELAYS_PER_TTL = 16;

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

    void succeeded(long nowNanos) {
        dueNanos = nowNanos;
        delayNanos = timing.ttlNanos() / INITIAL_DELAYS_PER_TTL;
    }
}
