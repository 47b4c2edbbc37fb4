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
 * @param witnessLostMs time without a vote after which a witness is replaced
 * @param witnessRetryMs time for which a lost witness is not chosen again
 * @param rebalanceMs mean time between checks whether the witnesses are still spread evenly
 * @param storeTimeoutMs limit of a read or write of the store
 * @param listTimeoutMs limit of a listing of the store
 * @param watchWaitMs how long a watch waits for a change
 * @param configurationWaitMs how long a daemon that is no relay waits for a change of the configuration at the store
 *     itself; 0 if it learns of changes from peers only
 * @param settleWatchMs time after its start in which a daemon that is no relay watches the store itself; the members it
 *     knows from its first listing may have ended with it, the relay and its witnesses among them
 * @param pushSpacingMs least time between a heartbeat and an early one that carries news
 * @param maxWitnessedMembers members whose votes are remembered by this daemon as witness
 */
public record ControlOptions(
        long ttlMs,
        long heartbeatMs,
        int marginPercent,
        long tickMs,
        long takeoverRankDelayMs,
        long witnessLostMs,
        long witnessRetryMs,
        long rebalanceMs,
        long storeTimeoutMs,
        long listTimeoutMs,
        long watchWaitMs,
        long configurationWaitMs,
        long settleWatchMs,
        long pushSpacingMs,
        int maxWitnessedMembers) {
    public static final ControlOptions DEFAULT =
            new ControlOptions(2_000, 500, 105, 50, 200, 1_500, 10_000, 60_000, 500, 3_000, 1_000, 0, 0, 200, 4_096);

    public ControlOptions {
        requirePositive("tickMs", tickMs);
        requirePositive("takeoverRankDelayMs", takeoverRankDelayMs);
        requirePositive("witnessLostMs", witnessLostMs);
        requirePositive("witnessRetryMs", witnessRetryMs);
        requirePositive("rebalanceMs", rebalanceMs);
        requirePositive("storeTimeoutMs", storeTimeoutMs);
        requirePositive("listTimeoutMs", listTimeoutMs);
        requirePositive("watchWaitMs", watchWaitMs);
        requirePositive("pushSpacingMs", pushSpacingMs);
        requirePositive("maxWitnessedMembers", maxWitnessedMembers);
        if (tickMs > heartbeatMs) {
            throw new IllegalArgumentException("tickMs must not exceed heartbeatMs");
        }
        LeaseTiming.ofMs(ttlMs, heartbeatMs, marginPercent);
    }

    /** These options with other times of the lease. */
    public ControlOptions withLease(long newTtlMs, long newHeartbeatMs, int newMarginPercent) {
        return new ControlOptions(
                newTtlMs,
                newHeartbeatMs,
                newMarginPercent,
                Math.min(tickMs, newHeartbeatMs),
                takeoverRankDelayMs,
                witnessLostMs,
                witnessRetryMs,
                rebalanceMs,
                storeTimeoutMs,
                listTimeoutMs,
                watchWaitMs,
                configurationWaitMs,
                settleWatchMs,
                pushSpacingMs,
                maxWitnessedMembers);
    }

    /** These options with other waits of watches. */
    public ControlOptions withWatches(long newWatchWaitMs, long newConfigurationWaitMs, long newSettleWatchMs) {
        return new ControlOptions(
                ttlMs,
                heartbeatMs,
                marginPercent,
                tickMs,
                takeoverRankDelayMs,
                witnessLostMs,
                witnessRetryMs,
                rebalanceMs,
                storeTimeoutMs,
                listTimeoutMs,
                newWatchWaitMs,
                newConfigurationWaitMs,
                newSettleWatchMs,
                pushSpacingMs,
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
