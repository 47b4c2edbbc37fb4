package org.coriandercrank.placement.internal;

/**
 * Parameters of a {@link RebalancePolicy}. Immutable. Marks are loads over the fair load of a server.
 *
 * @param highMark load above which the policy acts
 * @param lowMark load below which it stops acting
 * @param minIntervalMs least time between load-driven changes
 * @param lastingMs how long the imbalance must have been above the target before the policy acts
 * @param maxMoves bound on the load-driven moves of one decision
 * @param maxMovesPerServer bound on the simultaneous moves to or from one server
 * @param fillBelow share of hash space over the fair share below which a server gets more of it
 * @param shareCost cost of moving the hash space of one server's fair share, in units of the marks
 * @param moveCost cost of one move, in units of the marks
 * @param minGainPart least gain of a move, as part of the distance from the low mark
 */
public record RebalanceRules(
        double highMark,
        double lowMark,
        long minIntervalMs,
        long lastingMs,
        int maxMoves,
        int maxMovesPerServer,
        double fillBelow,
        double shareCost,
        double moveCost,
        double minGainPart) {
    /** Reacts at once and keeps the moves of each server few. */
    public static final RebalanceRules AVAILABILITY =
            new RebalanceRules(1.2, 1.08, 2_000, 0, 64, 8, 0.2, 1.0, 0.01, 0.2);

    /** Acts on lasting imbalance only and prefers moves of little hash space. */
    public static final RebalanceRules LOW_CHURN =
            new RebalanceRules(1.25, 1.08, 2_000, 2_000, 64, 8, 0.2, 3.0, 0.01, 0.2);

    /** Evens out the load at each decision and takes no account of what a move costs. */
    public static final RebalanceRules GREEDY = new RebalanceRules(1.02, 1.02, 1, 0, 256, 256, 0, 0, 0, 0);

    public RebalanceRules {
        if (lowMark < 1 || highMark < lowMark) {
            throw new IllegalArgumentException("marks must be at least 1 and ordered");
        }
        if (maxMoves < 1 || maxMovesPerServer < 1 || minIntervalMs < 0 || lastingMs < 0) {
            throw new IllegalArgumentException("bounds on moves must be positive and times not negative");
        }
    }
}
