package org.coriandercrank.placement.internal;

import java.util.Map;
import java.util.TreeMap;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.placement.PlacementInput;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.Member;

/**
 * Relative capacity of backend servers: the number of their slots multiplied by the weight of their configuration rule.
 * Stateless and thread safe.
 */
public final class ServerWeights {
    private ServerWeights() {}

    /** Weight of a member; 0 if it has no backend server or its rule sets the weight to 0. */
    public static double of(Configuration configuration, Member member) {
        return member.backend().map(backend -> weight(configuration, backend)).orElse(0.0);
    }

    private static double weight(Configuration configuration, BackendInfo backend) {
        return backend.slots() * configuration.weightPercent(backend.name()) / 100.0;
    }

    /** Weights of the candidates that have a positive weight, by id. */
    static Map<MemberId, Double> of(PlacementInput input) {
        Map<MemberId, Double> weights = new TreeMap<>();
        for (Member member : input.candidates()) {
            double weight = of(input.configuration(), member);
            if (weight > 0) {
                weights.put(member.id(), weight);
            }
        }
        return weights;
    }
}
