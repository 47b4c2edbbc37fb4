package org.coriandercrank.lease;

/**
 * Earliest time of the next store operation of a holder or taker. The wait doubles with each failure up to the TTL.
 * Jitter is added by the driver, because the state machines are deterministic. Not thread safe.
 */
final class StoreBackoff {
    private static final int FIRST_WAITS_PER_TTL = 16;

    private final LeaseTiming timing;
    private long dueNanos;
    private long waitNanos;

    StoreBackoff(LeaseTiming timing, long nowNanos) {
        this.timing = timing;
        this.dueNanos = nowNanos;
        this.waitNanos = timing.ttlNanos() / FIRST_WAITS_PER_TTL;
    }

    boolean isDue(long nowNanos) {
        return nowNanos - dueNanos >= 0;
    }

    void failed(long nowNanos) {
        dueNanos = nowNanos + waitNanos;
        waitNanos = Math.min(2 * waitNanos, timing.ttlNanos());
    }

    void succeeded(long nowNanos) {
        dueNanos = nowNanos;
        waitNanos = timing.ttlNanos() / FIRST_WAITS_PER_TTL;
    }
}
