package org.coriandercrank.lease;

import java.util.Random;

/**
 * Earliest time of the next store operation of a holder or taker. The wait doubles with each failure up to the TTL and
 * varies by half, so that daemons do not retry together; a seed keeps the state machines deterministic. Not thread safe.
 */
final class StoreBackoff {
    private static final int FIRST_WAITS_PER_TTL = 16;

    private static final double JITTER = 0.5;

    private final LeaseTiming timing;
    private final Random random;
    private long dueNanos;
    private long waitNanos;

    StoreBackoff(LeaseTiming timing, long nowNanos, long seed) {
        this.random = new Random(seed);
        this.timing = timing;
        this.dueNanos = nowNanos;
        this.waitNanos = timing.ttlNanos() / FIRST_WAITS_PER_TTL;
    }

    boolean isDue(long nowNanos) {
        return nowNanos - dueNanos >= 0;
    }

    void failed(long nowNanos) {
        dueNanos = nowNanos + (long) (waitNanos * (1 - JITTER * random.nextDouble()));
        waitNanos = Math.min(2 * waitNanos, timing.ttlNanos());
    }

    void succeeded(long nowNanos) {
        dueNanos = nowNanos;
        waitNanos = timing.ttlNanos() / FIRST_WAITS_PER_TTL;
    }
}
