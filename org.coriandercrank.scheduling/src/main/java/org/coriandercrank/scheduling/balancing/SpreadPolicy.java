package org.coriandercrank.scheduling.balancing;

import java.util.List;
import java.util.random.RandomGenerator;
import org.coriandercrank.kernel.placement.BalancingCandidate;
import org.coriandercrank.kernel.placement.BalancingPolicy;

/**
 * Chooses a server at random, with probabilities that level the load of the servers. Stateless.
 *
 * <p>Load pattern: many daemons choose at the same moment from reports that are up to seconds old. Daemons that all
 * choose the server with the lowest reported load overload the servers in turn.
 *
 * <p>The probability of a server is its part of the requests that all daemons are expected to send while the reports
 * age, if these requests level the costs of the servers. Many requests arrive while an old report ages, so the choice
 * spreads over all servers by their capacity; few arrive after a fresh one, so the least loaded servers get them. Other
 * daemons choose in the same way, so the sum of the choices levels the load. {@link ServerLoads} holds the costs.
 */
public final class SpreadPolicy implements BalancingPolicy {
    @Override
    public int choose(List<BalancingCandidate> candidates, RandomGenerator random) {
        if (candidates.size() == 1) {
            return 0;
        }
        double[] shares = shares(candidates);
        int first = draw(shares, random);
        int second = draw(shares, random);
        return candidates.get(second).inFlight() * shares[first]
                        < candidates.get(first).inFlight() * shares[second]
                ? second
                : first;
    }

    /** Probability of each candidate; the sum is 1. */
    public static double[] shares(List<BalancingCandidate> candidates) {
        return new ServerLoads(candidates).shares();
    }

    private static int draw(double[] shares, RandomGenerator random) {
        double remaining = random.nextDouble();
        int last = 0;
        for (int i = 0; i < shares.length; i++) {
            if (shares[i] > 0) {
                last = i;
                remaining -= shares[i];
                if (remaining < 0) {
                    return i;
                }
            }
        }
        return last;
    }
}
