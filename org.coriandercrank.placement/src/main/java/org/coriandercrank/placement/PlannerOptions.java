package org.coriandercrank.placement;

/**
 * Options of {@link Planner}; all times in milliseconds. Immutable.
 *
 * @param renewMs period at which the holder renews the planner object
 * @param takeAfterMs time without renewal after which another daemon takes it
 * @param rankDelayMs additional wait per rank among the candidates
 * @param idleReadMs period at which daemons of higher rank read the planner object
 * @param readers number of daemons that read it every {@code renewMs}
 * @param tickMs period of checks that need no event
 * @param settleMs how long the members of a service must be stable before its first table
 * @param loadPeriodMs period of load queries
 * @param loadTimeoutMs time limit of one load query
 * @param sealedKeepMs how long a sealed member that no table mentions is kept
 */
public record PlannerOptions(
        long renewMs,
        long takeAfterMs,
        long rankDelayMs,
        long idleReadMs,
        int readers,
        long tickMs,
        long settleMs,
        long loadPeriodMs,
        long loadTimeoutMs,
        long sealedKeepMs) {
    public static final PlannerOptions DEFAULTS =
            new PlannerOptions(500, 1_500, 200, 10_000, 3, 100, 1_000, 2_000, 1_500, 60_000);

    public PlannerOptions {
        if (renewMs < 1 || takeAfterMs <= renewMs || idleReadMs < renewMs || readers < 1) {
            throw new IllegalArgumentException("takeAfterMs must exceed renewMs, and both must be positive");
        }
        if (tickMs < 1 || loadPeriodMs < 1 || loadTimeoutMs < 1 || settleMs < 0 || sealedKeepMs < 0) {
            throw new IllegalArgumentException("periods must be positive and delays not negative");
        }
    }
}
