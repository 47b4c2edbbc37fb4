package org.coriandercrank.placement.internal;

/**
 * Parameters of a {@link RebalancePolicy}. Watermarks are the load of a server over its fair load. Immutable.
 *
 * @param highWatermark load of the most loaded server above which the policy moves load
 * @param lowWatermark load of the most loaded server at or below which the policy stops moving load
 * @param minIntervalMs least time between changes that balance load or hash space, in milliseconds
 * @param minImbalanceDurationMs how long the imbalance must have been above the target before load is moved, in
 *     milliseconds
 * @param maxMoves bound on the moves of one decision that balance load, and on those that balance hash space
 * @param maxMovesPerServer bound on the moves of one decision to or from one server
 * @param fillThreshold share of the hash space over the fair share below which a server gets more hash space
 * @param shareCost cost of moving a server's fair share of the hash space, in units of the watermarks
 * @param moveCost cost of one move, in units of the watermarks
 * @param minGainFraction least gain of a move, as a fraction of the load of its source above the low watermark
 */
public record RebalanceParameters(
        double highWatermark,
        double lowWatermark,
        long minIntervalMs,
        long minImbalanceDurationMs,
        int maxMoves,
        int maxMovesPerServer,
        double fillThreshold,
        double shareCost,
        double moveCost,
        double minGainFraction) {
    private static final double AVAILABILITY_HIGH_WATERMARK = 1.2;
    private static final double AVAILABILITY_LOW_WATERMARK = 1.08;
    private static final long AVAILABILITY_MIN_INTERVAL_MS = 2_000;
    private static final long AVAILABILITY_MIN_IMBALANCE_DURATION_MS = 0;
    private static final int AVAILABILITY_MAX_MOVES = 64;
    private static final int AVAILABILITY_MAX_MOVES_PER_SERVER = 8;
    private static final double AVAILABILITY_FILL_THRESHOLD = 0.2;
    private static final double AVAILABILITY_SHARE_COST = 1.0;
    private static final double AVAILABILITY_MOVE_COST = 0.01;
    private static final double AVAILABILITY_MIN_GAIN_FRACTION = 0.2;

    private static final double LOW_CHURN_HIGH_WATERMARK = 1.25;
    private static final double LOW_CHURN_LOW_WATERMARK = 1.08;
    private static final long LOW_CHURN_MIN_INTERVAL_MS = 2_000;
    private static final long LOW_CHURN_MIN_IMBALANCE_DURATION_MS = 2_000;
    private static final int LOW_CHURN_MAX_MOVES = 64;
    private static final int LOW_CHURN_MAX_MOVES_PER_SERVER = 8;
    private static final double LOW_CHURN_FILL_THRESHOLD = 0.2;
    private static final double LOW_CHURN_SHARE_COST = 3.0;
    private static final double LOW_CHURN_MOVE_COST = 0.01;
    private static final double LOW_CHURN_MIN_GAIN_FRACTION = 0.2;

    private static final double GREEDY_HIGH_WATERMARK = 1.02;
    private static final double GREEDY_LOW_WATERMARK = 1.02;
    private static final long GREEDY_MIN_INTERVAL_MS = 1;
    private static final long GREEDY_MIN_IMBALANCE_DURATION_MS = 0;
    private static final int GREEDY_MAX_MOVES = 256;
    private static final int GREEDY_MAX_MOVES_PER_SERVER = 256;
    private static final double GREEDY_FILL_THRESHOLD = 0;
    private static final double GREEDY_SHARE_COST = 0;
    private static final double GREEDY_MOVE_COST = 0;
    private static final double GREEDY_MIN_GAIN_FRACTION = 0;

    /** Reacts to imbalance immediately and limits the moves per server. */
    public static final RebalanceParameters AVAILABILITY = new RebalanceParameters(
            AVAILABILITY_HIGH_WATERMARK,
            AVAILABILITY_LOW_WATERMARK,
            AVAILABILITY_MIN_INTERVAL_MS,
            AVAILABILITY_MIN_IMBALANCE_DURATION_MS,
            AVAILABILITY_MAX_MOVES,
            AVAILABILITY_MAX_MOVES_PER_SERVER,
            AVAILABILITY_FILL_THRESHOLD,
            AVAILABILITY_SHARE_COST,
            AVAILABILITY_MOVE_COST,
            AVAILABILITY_MIN_GAIN_FRACTION);

    /** Reacts only to imbalance that lasts, and prefers moves of little hash space. */
    public static final RebalanceParameters LOW_CHURN = new RebalanceParameters(
            LOW_CHURN_HIGH_WATERMARK,
            LOW_CHURN_LOW_WATERMARK,
            LOW_CHURN_MIN_INTERVAL_MS,
            LOW_CHURN_MIN_IMBALANCE_DURATION_MS,
            LOW_CHURN_MAX_MOVES,
            LOW_CHURN_MAX_MOVES_PER_SERVER,
            LOW_CHURN_FILL_THRESHOLD,
            LOW_CHURN_SHARE_COST,
            LOW_CHURN_MOVE_COST,
            LOW_CHURN_MIN_GAIN_FRACTION);

    /** Balances the load at each decision regardless of the cost of moves. */
    public static final RebalanceParameters GREEDY = new RebalanceParameters(
            GREEDY_HIGH_WATERMARK,
            GREEDY_LOW_WATERMARK,
            GREEDY_MIN_INTERVAL_MS,
            GREEDY_MIN_IMBALANCE_DURATION_MS,
            GREEDY_MAX_MOVES,
            GREEDY_MAX_MOVES_PER_SERVER,
            GREEDY_FILL_THRESHOLD,
            GREEDY_SHARE_COST,
            GREEDY_MOVE_COST,
            GREEDY_MIN_GAIN_FRACTION);

    public RebalanceParameters {
        if (lowWatermark < 1 || highWatermark < lowWatermark) {
            throw new IllegalArgumentException(
                    "lowWatermark must be at least 1, and highWatermark at least lowWatermark");
        }
        if (maxMoves < 1 || maxMovesPerServer < 1 || minIntervalMs < 0 || minImbalanceDurationMs < 0) {
            throw new IllegalArgumentException(
                    "maxMoves and maxMovesPerServer must be positive, and times must not be negative");
        }
    }
}
