package org.coriandercrank.control;

import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.message.FetchObject;
import org.coriandercrank.lease.LeaseTiming;

/**
 * Durations and limits of the control plane. Immutable.
 *
 * @param ttlMs how long a vote on a lease is valid
 * @param heartbeatMs interval between heartbeats to a witness
 * @param marginPercent time after which witnesses and takers treat a vote as expired, in percent of the TTL; the excess
 *     over 100 covers clock drift
 * @param tickMs interval between runs of the periodic work
 * @param takeoverRankDelayMs delay before a takeover starts, for each rank of the taker
 * @param witnessTimeoutMs time without a vote after which a witness is replaced
 * @param witnessRetryDelayMs time during which a witness that timed out is not selected again
 * @param rebalanceIntervalMs mean interval between checks whether the witnesses are evenly loaded
 * @param storeTimeoutMs timeout of a read or write of the store
 * @param listTimeoutMs timeout of a listing of the store
 * @param watchWaitMs how long a watch of the member records waits for a change; see {@link #relayWatchWaitMs} for the
 *     other kinds
 * @param configurationWatchWaitMs how long a watch of the configuration waits on a daemon that is not a relay; 0 if
 *     such a daemon receives configuration changes from peers only
 * @param startupWatchMs time after its start during which a daemon that is not a relay watches the store as well, unless
 *     it hears from a member that does; after a failure of all hosts, the members in its first listing may have failed
 *     too, including the relay and its witnesses
 * @param relayWatchIntervalMs minimum interval between the starts of two watches of a relay; changes in between are
 *     returned together
 * @param ownWatchIntervalMs the same for daemons that are not relays
 * @param minPushIntervalMs minimum interval between a heartbeat and an early one that announces an update to peers
 * @param maxWitnessedMembers maximum number of members whose votes this daemon remembers individually as a witness
 * @param evacuationsRead whether the evacuations of failure domains are read from the store
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
        long relayWatchIntervalMs,
        long ownWatchIntervalMs,
        long minPushIntervalMs,
        int maxWitnessedMembers,
        boolean evacuationsRead) {
    private static final long DEFAULT_TTL_MS = 2_000;
    private static final long DEFAULT_HEARTBEAT_MS = 500;
    private static final int DEFAULT_MARGIN_PERCENT = 105;
    private static final long DEFAULT_TICK_MS = 50;
    private static final long DEFAULT_TAKEOVER_RANK_DELAY_MS = 200;
    private static final long DEFAULT_WITNESS_TIMEOUT_MS = 1_500;
    private static final long DEFAULT_WITNESS_RETRY_DELAY_MS = 10_000;
    private static final long DEFAULT_REBALANCE_INTERVAL_MS = 60_000;
    private static final long DEFAULT_STORE_TIMEOUT_MS = 500;
    private static final long DEFAULT_LIST_TIMEOUT_MS = 3_000;
    private static final long DEFAULT_WATCH_WAIT_MS = 1_000;
    private static final long DEFAULT_CONFIGURATION_WATCH_WAIT_MS = 0;
    private static final long DEFAULT_STARTUP_WATCH_MS = 0;
    private static final long DEFAULT_RELAY_WATCH_INTERVAL_MS = 50;
    private static final long DEFAULT_OWN_WATCH_INTERVAL_MS = 250;
    private static final long DEFAULT_MIN_PUSH_INTERVAL_MS = 200;
    private static final int DEFAULT_MAX_WITNESSED_MEMBERS = 4_096;

    private static final int CONFIGURATION_WAIT_PERCENT = 75;
    private static final int ASSIGNMENTS_WAIT_PERCENT = 150;
    private static final int PERCENT = 100;

    public static final ControlOptions DEFAULTS = new ControlOptions(
            DEFAULT_TTL_MS,
            DEFAULT_HEARTBEAT_MS,
            DEFAULT_MARGIN_PERCENT,
            DEFAULT_TICK_MS,
            DEFAULT_TAKEOVER_RANK_DELAY_MS,
            DEFAULT_WITNESS_TIMEOUT_MS,
            DEFAULT_WITNESS_RETRY_DELAY_MS,
            DEFAULT_REBALANCE_INTERVAL_MS,
            DEFAULT_STORE_TIMEOUT_MS,
            DEFAULT_LIST_TIMEOUT_MS,
            DEFAULT_WATCH_WAIT_MS,
            DEFAULT_CONFIGURATION_WATCH_WAIT_MS,
            DEFAULT_STARTUP_WATCH_MS,
            DEFAULT_RELAY_WATCH_INTERVAL_MS,
            DEFAULT_OWN_WATCH_INTERVAL_MS,
            DEFAULT_MIN_PUSH_INTERVAL_MS,
            DEFAULT_MAX_WITNESSED_MEMBERS,
            /* evacuationsRead= */ false);

    public ControlOptions {
        requirePositive("tickMs", tickMs);
        requirePositive("takeoverRankDelayMs", takeoverRankDelayMs);
        requirePositive("witnessTimeoutMs", witnessTimeoutMs);
        requirePositive("witnessRetryDelayMs", witnessRetryDelayMs);
        requirePositive("rebalanceIntervalMs", rebalanceIntervalMs);
        requirePositive("storeTimeoutMs", storeTimeoutMs);
        requirePositive("listTimeoutMs", listTimeoutMs);
        requirePositive("watchWaitMs", watchWaitMs);
        requirePositive("relayWatchIntervalMs", relayWatchIntervalMs);
        requirePositive("ownWatchIntervalMs", ownWatchIntervalMs);
        requirePositive("minPushIntervalMs", minPushIntervalMs);
        requirePositive("maxWitnessedMembers", maxWitnessedMembers);
        if (tickMs > heartbeatMs) {
            throw new IllegalArgumentException("tickMs must not exceed heartbeatMs");
        }
        LeaseTiming.ofMs(ttlMs, heartbeatMs, marginPercent);
    }

    /** Returns a copy with other lease durations; the tick interval is reduced if it exceeds the heartbeat interval. */
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
                relayWatchIntervalMs,
                ownWatchIntervalMs,
                minPushIntervalMs,
                maxWitnessedMembers,
                evacuationsRead);
    }

    /** Returns a copy with other wait times for watches of the store. */
    public ControlOptions withWatchWaits(
            long newWatchWaitMs, long newConfigurationWatchWaitMs, long newStartupWatchMs) {
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
                newConfigurationWatchWaitMs,
                newStartupWatchMs,
                relayWatchIntervalMs,
                ownWatchIntervalMs,
                minPushIntervalMs,
                maxWitnessedMembers,
                evacuationsRead);
    }

    /** Returns a copy with other minimum intervals between watches of the store. */
    public ControlOptions withWatchIntervals(long newRelayWatchIntervalMs, long newOwnWatchIntervalMs) {
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
                watchWaitMs,
                configurationWatchWaitMs,
                startupWatchMs,
                newRelayWatchIntervalMs,
                newOwnWatchIntervalMs,
                minPushIntervalMs,
                maxWitnessedMembers,
                evacuationsRead);
    }

    /** Returns a copy that reads the evacuations of failure domains from the store, or does not. */
    public ControlOptions withEvacuationsRead(boolean newEvacuationsRead) {
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
                watchWaitMs,
                configurationWatchWaitMs,
                startupWatchMs,
                relayWatchIntervalMs,
                ownWatchIntervalMs,
                minPushIntervalMs,
                maxWitnessedMembers,
                newEvacuationsRead);
    }

    public LeaseTiming leaseTiming() {
        return LeaseTiming.ofMs(ttlMs, heartbeatMs, marginPercent);
    }

    /**
     * Returns how long a watch of a relay waits for a change. Lost answers are noticed after that time. A configuration
     * must be in force sooner than a table, which the planner also sends to the owners that it concerns.
     */
    public long relayWatchWaitMs(FetchObject.Kind kind) {
        return switch (kind) {
            case CONFIGURATION -> Math.max(1, watchWaitMs * CONFIGURATION_WAIT_PERCENT / PERCENT);
            case MEMBERS, EVACUATIONS -> watchWaitMs;
            case ASSIGNMENTS -> watchWaitMs * ASSIGNMENTS_WAIT_PERCENT / PERCENT;
        };
    }

    /** Time in which all daemons learn of a new era: a relay by its watch, the others by the next heartbeats. */
    public long eraSpreadNanos() {
        return TimeUnit.MILLISECONDS.toNanos(watchWaitMs + heartbeatMs);
    }

    private static void requirePositive(String name, long value) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " must be positive: " + value);
        }
    }
}
