package org.coriandercrank.ingress.internal.balancing;

import java.util.List;
import java.util.random.RandomGenerator;
import org.coriandercrank.kernel.placement.BalancingCandidate;
import org.coriandercrank.kernel.placement.BalancingPolicy;

/** Chooses the server with the fewest own requests in flight per weight; a random one of equals. Stateless. */
public final class LeastInFlightPolicy implements BalancingPolicy {
    @Override
    public int choose(List<BalancingCandidate> candidates, RandomGenerator random) {
        int best = 0;
        int equals = 1;
        for (int i = 1; i < candidates.size(); i++) {
            int order = LoadOrder.compare(candidates.get(i), candidates.get(best));
            if (order < 0) {
                best = i;
                equals = 1;
            } else if (order == 0 && random.nextInt(++equals) == 0) {
                best = i;
            }
        }
        return best;
    }
}
