package org.coriandercrank.ingress.internal.balancing;

import java.util.List;
import java.util.random.RandomGenerator;
import org.coriandercrank.kernel.placement.BalancingCandidate;
import org.coriandercrank.kernel.placement.BalancingPolicy;

/**
 * Draws two different servers at random, with probabilities proportional to their weights, and chooses the less loaded
 * one. Stateless.
 */
public final class TwoChoicesPolicy implements BalancingPolicy {
    private static final int NO_EXCLUDED_INDEX = -1;

    @Override
    public int choose(List<BalancingCandidate> candidates, RandomGenerator random) {
        if (candidates.size() == 1) {
            return 0;
        }
        int first = drawWeighted(candidates, NO_EXCLUDED_INDEX, random);
        int second = drawWeighted(candidates, first, random);
        return WeightedLoad.compare(candidates.get(second), candidates.get(first)) < 0 ? second : first;
    }

    private static int drawWeighted(List<BalancingCandidate> candidates, int excludedIndex, RandomGenerator random) {
        int totalWeight = 0;
        for (int i = 0; i < candidates.size(); i++) {
            totalWeight += i == excludedIndex ? 0 : candidates.get(i).weightPercent();
        }
        int remainingWeight = random.nextInt(totalWeight);
        for (int i = 0; i < candidates.size(); i++) {
            remainingWeight -= i == excludedIndex ? 0 : candidates.get(i).weightPercent();
            if (remainingWeight < 0) {
                return i;
            }
        }
        throw new IllegalStateException("weights changed during a draw");
    }
}
