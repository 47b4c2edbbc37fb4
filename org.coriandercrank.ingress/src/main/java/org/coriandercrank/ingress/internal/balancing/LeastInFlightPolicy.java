package org.coriandercrank.ingress.internal.balancing;

import java.util.List;
import java.util.random.RandomGenerator;
import org.coriandercrank.kernel.placement.BalancingCandidate;
import org.coriandercrank.kernel.placement.BalancingPolicy;

/**
 * Chooses the server with the fewest requests of this daemon in flight, relative to its weight. Chooses at random among
 * equal servers. Stateless.
 */
public final class LeastInFlightPolicy implements BalancingPolicy {
    @Override
    public int choose(List<BalancingCandidate> candidates, RandomGenerator random) {
        int best = 0;
        int equalCount = 1;
        for (int i = 1; i < candidates.size(); i++) {
            int comparison = WeightedLoad.compare(candidates.get(i), candidates.get(best));
            if (comparison < 0) {
                best = i;
                equalCount = 1;
            } else if (comparison == 0 && random.nextInt(++equalCount) == 0) {
                best = i;
            }
        }
        return best;
    }
}
