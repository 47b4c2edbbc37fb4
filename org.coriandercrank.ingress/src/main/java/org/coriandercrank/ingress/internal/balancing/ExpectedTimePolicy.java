package org.coriandercrank.ingress.internal.balancing;

import java.util.List;
import java.util.random.RandomGenerator;
import org.coriandercrank.kernel.placement.BalancingCandidate;
import org.coriandercrank.kernel.placement.BalancingPolicy;

/**
 * Chooses the server with the shortest expected time until its answer. Stateless.
 *
 * <p>The penalty for another failure domain or region is larger than the network latency, because traffic between them
 * is billed. A server without a load report is assumed to be as fast as the fastest reported one. Random jitter spreads
 * the requests of daemons that have received the same reports.
 */
public final class ExpectedTimePolicy implements BalancingPolicy {
    private static final double OTHER_DOMAIN_PENALTY_MS = 8;
    private static final double OTHER_REGION_PENALTY_MS = 120;

    /** Largest random increase of a cost, as a share of the cost. */
    private static final double JITTER_FRACTION = 0.1;

    /** Cost of each request that this daemon has in flight to a server, so that equally fast idle servers alternate. */
    private static final double IN_FLIGHT_PENALTY_MS = 2;

    @Override
    public int choose(List<BalancingCandidate> candidates, RandomGenerator random) {
        double shortestReportedMs = candidates.stream()
                .mapToDouble(BalancingCandidate::expectedMs)
                .filter(costMs -> costMs > 0)
                .min()
                .orElse(0);
        int best = 0;
        double lowestCostMs = Double.POSITIVE_INFINITY;
        for (int i = 0; i < candidates.size(); i++) {
            double costMs = costMs(candidates.get(i), shortestReportedMs) * (1 + JITTER_FRACTION * random.nextDouble());
            if (costMs < lowestCostMs) {
                best = i;
                lowestCostMs = costMs;
            }
        }
        return best;
    }

    private static double costMs(BalancingCandidate candidate, double shortestReportedMs) {
        double expectedMs = candidate.expectedMs() > 0 ? candidate.expectedMs() : shortestReportedMs;
        double distancePenaltyMs = candidate.sameFailureDomain()
                ? 0
                : candidate.sameRegion() ? OTHER_DOMAIN_PENALTY_MS : OTHER_REGION_PENALTY_MS;
        return expectedMs + distancePenaltyMs + candidate.penaltyMs() + IN_FLIGHT_PENALTY_MS * candidate.inFlight();
    }
}
