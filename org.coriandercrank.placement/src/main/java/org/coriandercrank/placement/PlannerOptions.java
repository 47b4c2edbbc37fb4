package org.coriandercrank.placement;

/**
 * Options of {@link Planner}; all times are in milliseconds. Immutable.
 *
 * @param renewIntervalMs interval at which the holder of the planner role renews the planner object in the store
 * @param roleTimeoutMs time without a renewal after which another daemon takes over the planner role
 * @param rankDelayMs additional time per rank that a daemon waits before it takes over the role
 * @param slowReadIntervalMs interval at which daemons read the planner object if their rank is {@code fastReaders} or
 *     higher
 * @param fastReaders number of daemons that read the planner object every {@code renewIntervalMs}
 * @param tickIntervalMs interval of periodic checks
 * @param firstTableDelayMs how long the candidates of a service must stay the same before its first table is written
 * @param loadQueryIntervalMs interval of load queries
 * @param loadQueryTimeoutMs timeout of one load query
 * @param sealedRetentionMs how long the record of a sealed member is kept while no table references it
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
    public static final PlannerOptions DEFAULTS = new PlannerOptions(
            /* renewIntervalMs= */ 500,
            /* roleTimeoutMs= */ 1_500,
            /* rankDelayMs= */ 200,
            /* slowReadIntervalMs= */ 10_000,
            /* fastReaders= */ 3,
            /* tickIntervalMs= */ 100,
            /* firstTableDelayMs= */ 1_000,
            /* loadQueryIntervalMs= */ 2_000,
            /* loadQueryTimeoutMs= */ 1_500,
            /* sealedRetentionMs= */ 60_000);

    public PlannerOptions {
        if (renewIntervalMs < 1
                || roleTimeoutMs <= renewIntervalMs
                || slowReadIntervalMs < renewIntervalMs
                || fastReaders < 1) {
            throw new IllegalArgumentException(
                    "roleTimeoutMs must exceed renewIntervalMs, and intervals and fastReaders must be positive");
        }
        if (tickIntervalMs < 1
                || loadQueryIntervalMs < 1
                || loadQueryTimeoutMs < 1
                || firstTableDelayMs < 0
                || sealedRetentionMs < 0) {
            throw new IllegalArgumentException(
                    "intervals and timeouts must be positive, and other times must not be negative");
        }
    }
}
