package org.coriandercrank.kernel.placement;

import java.util.List;
import java.util.random.RandomGenerator;

/** Chooses a backend server for a request of an unkeyed service. Implementations are thread safe. */
@FunctionalInterface
public interface BalancingPolicy {
    /** Returns the index of the chosen candidate; the list is not empty. */
    int choose(List<BalancingCandidate> candidates, RandomGenerator random);
}
