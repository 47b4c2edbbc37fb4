package org.coriandercrank.ingress.internal.balancing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.coriandercrank.kernel.placement.BalancingCandidate;

/**
 * Keeps the nearest servers that are not clearly busier than farther ones. Stateless.
 *
 * <p>Servers of the own failure domain come first, then those of the own region, then the rest. The next group is added
 * if the least loaded near server has more than twice the load of the least loaded server of that group plus a margin.
 * The margin is larger for the other region, because each byte between regions is paid for and a hop costs 20 ms.
 */
final class LocalityFilter {
    private static final double CLEARLY_BUSIER_FACTOR = 2;
    private static final double REGION_MARGIN_REQUESTS = 4;
    private static final double REMOTE_MARGIN_REQUESTS = 12;

    private LocalityFilter() {}

    static List<BalancingCandidate> apply(List<BalancingCandidate> candidates) {
        List<BalancingCandidate> chosen = select(candidates, BalancingCandidate::sameFailureDomain);
        spill(chosen, select(candidates, c -> c.sameRegion() && !c.sameFailureDomain()), REGION_MARGIN_REQUESTS);
        spill(chosen, select(candidates, c -> !c.sameRegion() && !c.sameFailureDomain()), REMOTE_MARGIN_REQUESTS);
        return chosen;
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

    private static void spill(List<BalancingCandidate> chosen, List<BalancingCandidate> farther, double margin) {
        if (chosen.isEmpty() || leastLoad(chosen) > CLEARLY_BUSIER_FACTOR * leastLoad(farther) + margin) {
            chosen.addAll(farther);
        }
    }

    /** Infinite for no servers, so that nothing spills to an empty group. */
    private static double leastLoad(List<BalancingCandidate> candidates) {
        double least = Double.POSITIVE_INFINITY;
        for (BalancingCandidate candidate : candidates) {
            least = Math.min(least, LoadOrder.load(candidate));
        }
        return least;
    }
}
