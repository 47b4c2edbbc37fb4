package org.coriandercrank.ingress.internal.balancing;

import org.coriandercrank.kernel.config.BackendRule;
import org.coriandercrank.kernel.placement.BalancingCandidate;

/** Compares servers by the number of requests of this daemon in flight, relative to their weight. Stateless. */
final class WeightedLoad {
    private WeightedLoad() {}

    /**
     * Compares the weighted load of two servers. Counts the request that is about to be sent, so that among idle
     * servers the one with the larger weight has the smaller load.
     */
    static int compare(BalancingCandidate a, BalancingCandidate b) {
        return Long.compare((a.inFlight() + 1L) * b.weightPercent(), (b.inFlight() + 1L) * a.weightPercent());
    }

    /** Number of requests in flight, scaled to a server of default weight. */
    static double normalizedInFlight(BalancingCandidate candidate) {
        return (double) candidate.inFlight() * BackendRule.DEFAULT_WEIGHT_PERCENT / candidate.weightPercent();
    }
}
