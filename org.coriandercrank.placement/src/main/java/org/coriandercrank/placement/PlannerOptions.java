package org.coriandercrank.placement;

/**
 * Options of {@link Planner}; all times in milliseconds. Immutable.
 *
 * @param renewIntervalMs period at which the holder renews the planner object
 * @param roleTimeoutMs time without renewal after which another daemon takes it
 * @param rankDelayMs additional wait per rank among the candidates
 * @param slowReadIntervalMs period at which daemons of higher rank read the planner object
 * @param fastReaders number of daemons that read it every {@code renewMs}
 * @param tickIntervalMs period of checks that need no event
 * @param firstTableDelayMs how long the members of a service must be stable before its first table
 * @param loadQueryIntervalMs period of load queries
 * @param loadQueryTimeoutMs time limit of one load query
 * @param sealedRetentionMs how long a sealed member that no table mentions is kept
 */
public record PlannerOptions(
        long renewIntervalMs,
        long roleTimeoutMs,
        long rankDelayMs,
        long slowReadIntervalMs,
        int fastReaders,
        long tickIntervalMs,
        long firstTableDelayMs,
        long loadQueryIntervalMs,
        long loadQueryTimeoutMs,
        long sealedRetentionMs) {
    public static final PlannerOptions DEFAULTS =
            new PlannerOptions(500, 1_500, 200, 10_000, 3, 100, 1_000, 2_000, 1_500, 60_000);

    public PlannerOptions {
        if (renewIntervalMs < 1
                || roleTimeoutMs <= renewIntervalMs
                || slowReadIntervalMs < renewIntervalMs
                || fastReaders < 1) {
            throw new IllegalArgumentException("takeAfterMs must exceed renewMs, and both must be positive");
        }
        if (tickIntervalMs < 1
                || loadQueryIntervalMs < 1
                || loadQueryTimeoutMs < 1
                || firstTableDelayMs < 0
                || sealedRetentionMs < 0) {
            throw new IllegalArgumentException("periods must be positive and delays not negative");
        }
    }
}
