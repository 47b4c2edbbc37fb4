package org.coriandercrank.ingress.internal.balancing;

import java.util.List;
import java.util.random.RandomGenerator;
import org.coriandercrank.kernel.placement.BalancingCandidate;
import org.coriandercrank.kernel.placement.BalancingPolicy;

/** Chooses the less loaded of two different servers drawn at random, each with a chance by weight. Stateless. */
public final class TwoChoicesPolicy implements BalancingPolicy {
    private static final int NONE = -1;

    @Override
    public int choose(List<BalancingCandidate> candidates, RandomGenerator random) {
        if (candidates.size() == 1) {
            return 0;
        }
        int first = draw(candidates, NONE, random);
        int second = draw(candidates, first, random);
        return LoadOrder.compare(candidates.get(second), candidates.get(first)) < 0 ? second : first;
    }

    private static int draw(List<BalancingCandidate> candidates, int excluded, RandomGenerator random) {
        int total = 0;
        for (int i = 0; i < candidates.size(); i++) {
            total += i == excluded ? 0 : candidates.get(i).weightPercent();
        }
        int left = random.nextInt(total);
        for (int i = 0; i < candidates.size(); i++) {
            left -= i == excluded ? 0 : candidates.get(i).weightPercent();
            if (left < 0) {
                return i;
            }
        }
        throw new IllegalStateException("weights changed during a draw");
    }
}
