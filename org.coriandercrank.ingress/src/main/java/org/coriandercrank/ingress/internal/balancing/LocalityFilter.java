package org.coriandercrank.ingress.internal.balancing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.coriandercrank.kernel.config.Locality;
import org.coriandercrank.kernel.placement.BalancingCandidate;

/**
 * Keeps the nearest servers that are not clearly busier than farther ones. Stateless.
 *
 * <p>Servers of the own failure domain come first, then those of the own region, then the rest, as far as the locality
 * of the service says so. A wider group is used
 * if the least loaded near server has more than twice the load of the least loaded server of that group plus a margin.
 * The margin is larger for the other region, because each byte between regions is paid for and a hop costs 20 ms.
 */
final class LocalityFilter {
    private static final double CLEARLY_BUSIER_FACTOR = 2;
    private static final double REGION_MARGIN_REQUESTS = 4;
    private static final double REMOTE_MARGIN_REQUESTS = 12;

    private LocalityFilter() {}

    static List<BalancingCandidate> apply(List<BalancingCandidate> candidates, Locality locality) {
        if (locality == Locality.ANY) {
            return candidates;
        }
        List<BalancingCandidate> sameDomain = select(candidates, BalancingCandidate::sameFailureDomain);
        List<BalancingCandidate> sameRegion = select(candidates, c -> c.sameRegion() || c.sameFailureDomain());
        if (isClearlyBusier(sameRegion, candidates, REMOTE_MARGIN_REQUESTS)) {
            return candidates;
        }
        if (locality == Locality.REGION_FIRST) {
            return sameRegion;
        }
        return isClearlyBusier(sameDomain, sameRegion, REGION_MARGIN_REQUESTS) ? sameRegion : sameDomain;
    }

    private static List<BalancingCandidate> select(
            List<BalancingCandidate> candidates, Predicate<BalancingCandidate> condition) {
        List<BalancingCandidate> selected = new ArrayList<>();
        for (BalancingCandidate candidate : candidates) {
            if (condition.test(candidate)) {
                selected.add(candidate);
            }
        }
        return selected;
    }

    /** Whether the near servers are clearly busier than the least loaded of a wider group that contains them. */
    private static boolean isClearlyBusier(
            List<BalancingCandidate> near, List<BalancingCandidate> wider, double marginRequests) {
        return near.size() < wider.size()
                && leastLoad(near) > CLEARLY_BUSIER_FACTOR * leastLoad(wider) + marginRequests;
    }

    /** Infinite for no servers, so that an empty near group is always left for a wider one. */
    private static double leastLoad(List<BalancingCandidate> candidates) {
        double least = Double.POSITIVE_INFINITY;
        for (BalancingCandidate candidate : candidates) {
            least = Math.min(least, LoadOrder.load(candidate));
        }
        return least;
    }
}
