package org.coriandercrank.ingress.internal.balancing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.coriandercrank.kernel.config.Locality;
import org.coriandercrank.kernel.placement.BalancingCandidate;

/**
 * Restricts the candidates to near servers unless these are clearly busier than more distant ones. Stateless.
 *
 * <p>Depending on the locality setting of the service, servers in the failure domain of this daemon are preferred, then
 * those in its region, then all others. The next larger group is used if the least loaded near server has more than
 * twice the load of the least loaded server of the larger group, plus a margin. The margin is larger for the other
 * region, because traffic between regions is billed and a hop takes 20 ms.
 */
final class LocalityFilter {
    private static final double CLEARLY_BUSIER_FACTOR = 2;
    private static final double OTHER_DOMAIN_MARGIN_REQUESTS = 4;
    private static final double OTHER_REGION_MARGIN_REQUESTS = 12;

    private LocalityFilter() {}

    /** Returns the candidates that remain. The result is empty only if there are no candidates. */
    static List<BalancingCandidate> apply(List<BalancingCandidate> candidates, Locality locality) {
        if (locality == Locality.ANY) {
            return candidates;
        }
        List<BalancingCandidate> sameDomain = select(candidates, BalancingCandidate::sameFailureDomain);
        List<BalancingCandidate> sameRegion = select(candidates, c -> c.sameRegion() || c.sameFailureDomain());
        if (isClearlyBusier(sameRegion, candidates, OTHER_REGION_MARGIN_REQUESTS)) {
            return candidates;
        }
        if (locality == Locality.REGION_FIRST) {
            return sameRegion;
        }
        return isClearlyBusier(sameDomain, sameRegion, OTHER_DOMAIN_MARGIN_REQUESTS) ? sameRegion : sameDomain;
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

    /**
     * Whether the near servers are clearly busier than the least loaded server of a larger group that contains them.
     */
    private static boolean isClearlyBusier(
            List<BalancingCandidate> near, List<BalancingCandidate> larger, double marginRequests) {
        return near.size() < larger.size()
                && leastLoad(near) > CLEARLY_BUSIER_FACTOR * leastLoad(larger) + marginRequests;
    }

    /** The smallest load; infinite if there are no servers, so that a larger group always replaces an empty one. */
    private static double leastLoad(List<BalancingCandidate> candidates) {
        double least = Double.POSITIVE_INFINITY;
        for (BalancingCandidate candidate : candidates) {
            least = Math.min(least, WeightedLoad.normalizedInFlight(candidate));
        }
        return least;
    }
}
