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
 * @param minGainFraction least gain of a move, as a fraction of the load above the low watermark
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
    /** Reacts to imbalance immediately and limits the moves per server. */
    public static final RebalanceParameters AVAILABILITY = new RebalanceParameters(
            /* highWatermark= */ 1.2,
            /* lowWatermark= */ 1.08,
            /* minIntervalMs= */ 2_000,
            /* minImbalanceDurationMs= */ 0,
            /* maxMoves= */ 64,
            /* maxMovesPerServer= */ 8,
            /* fillThreshold= */ 0.2,
            /* shareCost= */ 1.0,
            /* moveCost= */ 0.01,
            /* minGainFraction= */ 0.2);

    /** Reacts only to imbalance that lasts, and prefers moves of little hash space. */
    public static final RebalanceParameters LOW_CHURN = new RebalanceParameters(
            /* highWatermark= */ 1.25,
            /* lowWatermark= */ 1.08,
            /* minIntervalMs= */ 2_000,
            /* minImbalanceDurationMs= */ 2_000,
            /* maxMoves= */ 64,
            /* maxMovesPerServer= */ 8,
            /* fillThreshold= */ 0.2,
            /* shareCost= */ 3.0,
            /* moveCost= */ 0.01,
            /* minGainFraction= */ 0.2);

    /** Balances the load at each decision regardless of the cost of moves. */
    public static final RebalanceParameters GREEDY = new RebalanceParameters(
            /* highWatermark= */ 1.02,
            /* lowWatermark= */ 1.02,
            /* minIntervalMs= */ 1,
            /* minImbalanceDurationMs= */ 0,
            /* maxMoves= */ 256,
            /* maxMovesPerServer= */ 256,
            /* fillThreshold= */ 0,
            /* shareCost= */ 0,
            /* moveCost= */ 0,
            /* minGainFraction= */ 0);

    public RebalanceParameters {
        if (lowWatermark < 1 || highWatermark < lowWatermark) {
            throw new IllegalArgumentException("watermarks must be at least 1 and ordered");
        }
        if (maxMoves < 1 || maxMovesPerServer < 1 || minIntervalMs < 0 || minImbalanceDurationMs < 0) {
            throw new IllegalArgumentException("bounds on moves must be positive, and times must not be negative");
        }
    }
}
