package org.coriandercrank.kernel.placement;

import java.util.List;
import java.util.random.RandomGenerator;

/** Chooses a server for a request of a service not divided by key. Implementations are thread safe. */
@FunctionalInterface
public interface BalancingPolicy {
    /** Index of the chosen candidate; the list is not empty. */
    int choose(List<BalancingCandidate> candidates, RandomGenerator random);
}
