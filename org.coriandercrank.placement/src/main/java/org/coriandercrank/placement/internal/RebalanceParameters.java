package org.coriandercrank.placement.internal;

/**
 * Parameters of a {@link RebalancePolicy}. Immutable. Marks are loads over the fair load of a server.
 *
 * @param highWatermark load above which the policy acts
 * @param lowWatermark load below which it stops acting
 * @param minIntervalMs least time between load-driven changes
 * @param minImbalanceDurationMs how long the imbalance must have been above the target before the policy acts
 * @param maxMoves bound on the load-driven moves of one decision
 * @param maxMovesPerServer bound on the simultaneous moves to or from one server
 * @param fillThreshold share of hash space over the fair share below which a server gets more of it
 * @param shareCost cost of moving the hash space of one server's fair share, in units of the marks
 * @param moveCost cost of one move, in units of the marks
 * @param minGainFraction least gain of a move, as part of the distance from the low mark
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
    /** Reacts at once and keeps the moves of each server few. */
    public static final RebalanceParameters AVAILABILITY =
            new RebalanceParameters(1.2, 1.08, 2_000, 0, 64, 8, 0.2, 1.0, 0.01, 0.2);

    /** Acts on lasting imbalance only and prefers moves of little hash space. */
    public static final RebalanceParameters LOW_CHURN =
            new RebalanceParameters(1.25, 1.08, 2_000, 2_000, 64, 8, 0.2, 3.0, 0.01, 0.2);

    /** Evens out the load at each decision and takes no account of what a move costs. */
    public static final RebalanceParameters GREEDY = new RebalanceParameters(1.02, 1.02, 1, 0, 256, 256, 0, 0, 0, 0);

    public RebalanceParameters {
        if (lowWatermark < 1 || highWatermark < lowWatermark) {
            throw new IllegalArgumentException("marks must be at least 1 and ordered");
        }
        if (maxMoves < 1 || maxMovesPerServer < 1 || minIntervalMs < 0 || minImbalanceDurationMs < 0) {
            throw new IllegalArgumentException("bounds on moves must be positive and times not negative");
        }
    }
}
