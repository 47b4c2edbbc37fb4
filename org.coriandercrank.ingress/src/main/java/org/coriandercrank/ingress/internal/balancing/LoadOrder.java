package org.coriandercrank.ingress.internal.balancing;

import org.coriandercrank.kernel.config.BackendRule;
import org.coriandercrank.kernel.placement.BalancingCandidate;

/** Comparison of servers by own requests in flight per weight. Stateless. */
final class LoadOrder {
    private LoadOrder() {}

    /** Counts the request about to be sent, so that among idle servers the one with more weight is less loaded. */
    static int compare(BalancingCandidate a, BalancingCandidate b) {
        return Long.compare((a.inFlight() + 1L) * b.weightPercent(), (b.inFlight() + 1L) * a.weightPercent());
    }

    /** Requests in flight, scaled to a server of default weight. */
    static double load(BalancingCandidate candidate) {
        return (double) candidate.inFlight() * BackendRule.DEFAULT_WEIGHT_PERCENT / candidate.weightPercent();
    }
}
