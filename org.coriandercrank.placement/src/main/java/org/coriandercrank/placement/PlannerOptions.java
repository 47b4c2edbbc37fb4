package org.coriandercrank.placement;

/**
 * Options of {@link Planner}; all times are in milliseconds. Immutable.
 *
 * @param renewIntervalMs interval at which the holder of the planner role renews the planner object in the store
 * @param roleTimeoutMs time without a renewal after which another daemon takes over the planner role
 * @param rankDelayMs additional time per rank that a daemon waits before it takes over the role
 * @param slowReadIntervalMs longest interval at which a daemon reads the planner object; a daemon whose rank is
 *     {@code fastReaders} or higher reads it every {@code renewIntervalMs} times its rank, up to this limit
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
    private static final long DEFAULT_RENEW_INTERVAL_MS = 500;
    private static final long DEFAULT_ROLE_TIMEOUT_MS = 1_500;
    private static final long DEFAULT_RANK_DELAY_MS = 200;
    private static final long DEFAULT_SLOW_READ_INTERVAL_MS = 10_000;
    private static final int DEFAULT_FAST_READERS = 3;
    private static final long DEFAULT_TICK_INTERVAL_MS = 100;
    private static final long DEFAULT_FIRST_TABLE_DELAY_MS = 1_000;
    private static final long DEFAULT_LOAD_QUERY_INTERVAL_MS = 2_000;
    private static final long DEFAULT_LOAD_QUERY_TIMEOUT_MS = 1_500;
    private static final long DEFAULT_SEALED_RETENTION_MS = 60_000;

    public static final PlannerOptions DEFAULTS = new PlannerOptions(
            DEFAULT_RENEW_INTERVAL_MS,
            DEFAULT_ROLE_TIMEOUT_MS,
            DEFAULT_RANK_DELAY_MS,
            DEFAULT_SLOW_READ_INTERVAL_MS,
            DEFAULT_FAST_READERS,
            DEFAULT_TICK_INTERVAL_MS,
            DEFAULT_FIRST_TABLE_DELAY_MS,
            DEFAULT_LOAD_QUERY_INTERVAL_MS,
            DEFAULT_LOAD_QUERY_TIMEOUT_MS,
            DEFAULT_SEALED_RETENTION_MS);

    public PlannerOptions {
        if (renewIntervalMs < 1
                || roleTimeoutMs <= renewIntervalMs
                || slowReadIntervalMs < renewIntervalMs
                || fastReaders < 1) {
            throw new IllegalArgumentException(
                    "renewIntervalMs and fastReaders must be positive, roleTimeoutMs must exceed renewIntervalMs,"
                            + " and slowReadIntervalMs must be at least renewIntervalMs");
        }
        if (tickIntervalMs < 1
                || loadQueryIntervalMs < 1
                || loadQueryTimeoutMs < 1
                || firstTableDelayMs < 0
                || sealedRetentionMs < 0) {
            throw new IllegalArgumentException(
                    "tickIntervalMs, loadQueryIntervalMs and loadQueryTimeoutMs must be positive,"
                            + " and firstTableDelayMs and sealedRetentionMs must not be negative");
        }
    }
}
