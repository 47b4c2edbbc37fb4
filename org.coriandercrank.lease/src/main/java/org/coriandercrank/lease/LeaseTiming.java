package org.coriandercrank.lease;

import java.util.concurrent.TimeUnit;

/**
 * Times of the lease rules. Immutable.
 *
 * @param ttlNanos how long a vote counts, on the clock of the holder
 * @param heartbeatNanos interval between heartbeats to a witness
 * @param expiryNanos time after which witnesses and takers treat a vote as expired; longer than {@code ttlNanos} by
 *     the margin that covers clock drift
 */
public record LeaseTiming(long ttlNanos, long heartbeatNanos, long expiryNanos) {
    private static final int RENEWALS_PER_TTL = 4;
    private static final int PERCENT = 100;

    public LeaseTiming {
        if (heartbeatNanos <= 0 || heartbeatNanos >= ttlNanos) {
            throw new IllegalArgumentException("heartbeat interval must be positive and below the TTL");
        }
        if (expiryNanos <= ttlNanos) {
            throw new IllegalArgumentException("expiry must exceed the TTL");
        }
    }

    /** Times from settings; the expiry is {@code ttlMs * marginPercent / 100}. */
    public static LeaseTiming ofMs(long ttlMs, long heartbeatMs, int marginPercent) {
        long ttlNanos = TimeUnit.MILLISECONDS.toNanos(ttlMs);
        return new LeaseTiming(
                ttlNanos, TimeUnit.MILLISECONDS.toNanos(heartbeatMs), ttlNanos * marginPercent / PERCENT);
    }

    /** Interval between renewals through the store. */
    public long renewalNanos() {
        return ttlNanos / RENEWALS_PER_TTL;
    }
}
