package org.coriandercrank.control;

import org.coriandercrank.lease.LeaseTiming;

/**
 * Times and limits of the control plane. Immutable.
 *
 * @param ttlMs how long a vote on a lease counts
 * @param heartbeatMs interval between heartbeats to a witness
 * @param marginPercent time after which others treat a vote as expired, in percent of the TTL; covers clock drift
 * @param tickMs interval between checks of all timed rules
 * @param takeoverRankDelayMs delay of a takeover for each rank of the taker
 * @param witnessTimeoutMs time without a vote after which a witness is replaced
 * @param witnessRetryDelayMs time for which a lost witness is not chosen again
 * @param rebalanceIntervalMs mean time between checks whether the witnesses are still spread evenly
 * @param storeTimeoutMs limit of a read or write of the store
 * @param listTimeoutMs limit of a listing of the store
 * @param watchWaitMs how long a watch waits for a change
 * @param configurationWatchWaitMs how long a daemon that is no relay waits for a change of the configuration at the store
 *     itself; 0 if it learns of changes from peers only
 * @param startupWatchMs time after its start in which a daemon that is no relay watches the store itself; the members it
 *     knows from its first listing may have ended with it, the relay and its witnesses among them
 * @param minPushIntervalMs least time between a heartbeat and an early one that carries news
 * @param maxWitnessedMembers members whose votes are remembered by this daemon as witness
 */
public record ControlOptions(
        long ttlMs,
        long heartbeatMs,
        int marginPercent,
        long tickMs,
        long takeoverRankDelayMs,
        long witnessTimeoutMs,
        long witnessRetryDelayMs,
        long rebalanceIntervalMs,
        long storeTimeoutMs,
        long listTimeoutMs,
        long watchWaitMs,
        long configurationWatchWaitMs,
        long startupWatchMs,
        long minPushIntervalMs,
        int maxWitnessedMembers) {
    public static final ControlOptions DEFAULT =
            new ControlOptions(2_000, 500, 105, 50, 200, 1_500, 10_000, 60_000, 500, 3_000, 1_000, 0, 0, 200, 4_096);

    public ControlOptions {
        requirePositive("tickMs", tickMs);
        requirePositive("takeoverRankDelayMs", takeoverRankDelayMs);
        requirePositive("witnessTimeoutMs", witnessTimeoutMs);
        requirePositive("witnessRetryDelayMs", witnessRetryDelayMs);
        requirePositive("rebalanceIntervalMs", rebalanceIntervalMs);
        requirePositive("storeTimeoutMs", storeTimeoutMs);
        requirePositive("listTimeoutMs", listTimeoutMs);
        requirePositive("watchWaitMs", watchWaitMs);
        requirePositive("minPushIntervalMs", minPushIntervalMs);
        requirePositive("maxWitnessedMembers", maxWitnessedMembers);
        if (tickMs > heartbeatMs) {
            throw new IllegalArgumentException("tickMs must not exceed heartbeatMs");
        }
        LeaseTiming.ofMs(ttlMs, heartbeatMs, marginPercent);
    }

    /** These options with other times of the lease. */
    public ControlOptions withLeaseTiming(long newTtlMs, long newHeartbeatMs, int newMarginPercent) {
        return new ControlOptions(
                newTtlMs,
                newHeartbeatMs,
                newMarginPercent,
                Math.min(tickMs, newHeartbeatMs),
                takeoverRankDelayMs,
                witnessTimeoutMs,
                witnessRetryDelayMs,
                rebalanceIntervalMs,
                storeTimeoutMs,
                listTimeoutMs,
                watchWaitMs,
                configurationWatchWaitMs,
                startupWatchMs,
                minPushIntervalMs,
                maxWitnessedMembers);
    }

    /** These options with other waits of watches. */
    public ControlOptions withWatchWaits(long newWatchWaitMs, long newConfigurationWaitMs, long newSettleWatchMs) {
        return new ControlOptions(
                ttlMs,
                heartbeatMs,
                marginPercent,
                tickMs,
                takeoverRankDelayMs,
                witnessTimeoutMs,
                witnessRetryDelayMs,
                rebalanceIntervalMs,
                storeTimeoutMs,
                listTimeoutMs,
                newWatchWaitMs,
                newConfigurationWaitMs,
                newSettleWatchMs,
                minPushIntervalMs,
                maxWitnessedMembers);
    }

    public LeaseTiming leaseTiming() {
        return LeaseTiming.ofMs(ttlMs, heartbeatMs, marginPercent);
    }

    private static void requirePositive(String name, long value) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " must be positive: " + value);
        }
    }
}
