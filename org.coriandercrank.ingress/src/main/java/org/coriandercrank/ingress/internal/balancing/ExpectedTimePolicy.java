package org.coriandercrank.ingress.internal.balancing;

import java.util.List;
import java.util.random.RandomGenerator;
import org.coriandercrank.kernel.placement.BalancingCandidate;
import org.coriandercrank.kernel.placement.BalancingPolicy;

/**
 * Chooses the server with the least expected time to an answer. Stateless.
 *
 * <p>The way to another failure domain or region counts more than it takes, because bytes on it have a price. Servers of
 * which nothing is known yet count as the best known one, and a small random part spreads the requests of daemons that
 * know the same.
 */
public final class ExpectedTimePolicy implements BalancingPolicy {
    private static final double OTHER_DOMAIN_MS = 8;
    private static final double OTHER_REGION_MS = 120;
    private static final double SPREAD = 0.1;

    /** Part that an idle server's queue position has, so that equals take turns. */
    private static final double IN_FLIGHT_MS = 2;

    @Override
    public int choose(List<BalancingCandidate> candidates, RandomGenerator random) {
        double leastKnownMs = candidates.stream()
                .mapToDouble(BalancingCandidate::expectedMs)
                .filter(ms -> ms > 0)
                .min()
                .orElse(0);
        int best = 0;
        double bestMs = Double.POSITIVE_INFINITY;
        for (int i = 0; i < candidates.size(); i++) {
            double ms = costMs(candidates.get(i), leastKnownMs) * (1 + SPREAD * random.nextDouble());
            if (ms < bestMs) {
                best = i;
                bestMs = ms;
            }
        }
        return best;
    }

    private static double costMs(BalancingCandidate candidate, double leastKnownMs) {
        double expectedMs = candidate.expectedMs() > 0 ? candidate.expectedMs() : leastKnownMs;
        double wayMs = candidate.sameFailureDomain() ? 0 : candidate.sameRegion() ? OTHER_DOMAIN_MS : OTHER_REGION_MS;
        return expectedMs + wayMs + IN_FLIGHT_MS * candidate.inFlight();
    }
}
