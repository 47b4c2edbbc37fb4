package org.coriandercrank.ingress.internal.balancing;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.coriandercrank.kernel.placement.BalancingCandidate;
import org.coriandercrank.kernel.placement.BalancingPolicy;

/** Chooses the servers in turn and ignores load and weight. A baseline for comparisons. Thread safe. */
public final class RoundRobinPolicy implements BalancingPolicy {
    private final AtomicInteger next = new AtomicInteger();

    @Override
    public int choose(List<BalancingCandidate> candidates, RandomGenerator random) {
        return Math.floorMod(next.getAndIncrement(), candidates.size());
    }
}
