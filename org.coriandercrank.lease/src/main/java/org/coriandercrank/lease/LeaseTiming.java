package org.coriandercrank.lease;

import java.util.concurrent.TimeUnit;

/**
 * Durations of the lease protocol. Immutable.
 *
 * @param ttlNanos how long a vote is valid, measured on the clock of the holder
 * @param heartbeatNanos interval between heartbeats to a witness
 * @param expiryNanos time after which witnesses and takers treat a vote as expired; longer than {@code ttlNanos} by
 *     the margin that covers clock drift
 */
public record LeaseTiming(long ttlNanos, long heartbeatNanos, long expiryNanos) {
    private static final int RENEWALS_PER_TTL = 4;
    private static final int PERCENT = 100;

    public LeaseTiming {
        if (heartbeatNanos <= 0 || heartbeatNanos >= ttlNanos) {
            throw new IllegalArgumentException("the heartbeat interval must be positive and shorter than the TTL");
        }
        if (expiryNanos <= ttlNanos) {
            throw new IllegalArgumentException("the expiry time must exceed the TTL");
        }
    }

    /**
     * Creates the durations from settings.
     *
     * @param marginPercent expiry time in percent of the TTL
     */
    public static LeaseTiming ofMs(long ttlMs, long heartbeatMs, int marginPercent) {
        long ttlNanos = TimeUnit.MILLISECONDS.toNanos(ttlMs);
        return new LeaseTiming(
                ttlNanos, TimeUnit.MILLISECONDS.toNanos(heartbeatMs), ttlNanos * marginPercent / PERCENT);
    }

    /** Minimum interval between renewals of the store's vote. */
    public long minRenewalIntervalNanos() {
        return ttlNanos / RENEWALS_PER_TTL;
    }
}
