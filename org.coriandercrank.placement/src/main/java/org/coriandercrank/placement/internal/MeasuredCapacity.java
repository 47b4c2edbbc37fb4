package org.coriandercrank.placement.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.placement.PlacementInput;
import org.coriandercrank.kernel.placement.RangeLoad;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.Member;

/**
 * What the servers of an input can do, from their weights and the times of their calls, and how busy they are. Immutable.
 *
 * <p>A server that has not been measured counts as one of median speed.
 */
final class MeasuredCapacity {
    /** Bounds of a server's speed against the median; beyond it a fault is likelier than a slow machine. */
    private static final double MIN_SPEED = 0.33;

    private static final double MAX_SPEED = 3;

    private static final double MS_PER_SECOND = 1_000;

    private final Map<MemberId, Double> weights;
    private final Map<MemberId, Double> busyShares;

    private MeasuredCapacity(Map<MemberId, Double> weights, Map<MemberId, Double> busyShares) {
        this.weights = weights;
        this.busyShares = busyShares;
    }

    static MeasuredCapacity of(PlacementInput input) {
        Map<MemberId, Double> weights = new TreeMap<>(ServerWeights.of(input));
        double medianMs = median(input.serviceMs().entrySet().stream()
                .filter(e -> weights.containsKey(e.getKey()))
                .map(Map.Entry::getValue)
                .sorted()
                .toList());
        weights.replaceAll((member, weight) -> {
            Double serviceMs = input.serviceMs().get(member);
            double speed = serviceMs == null ? 1 : medianMs / serviceMs;
            return weight * Math.max(MIN_SPEED, Math.min(MAX_SPEED, speed));
        });
        Map<MemberId, Double> busyShares = new HashMap<>();
        input.candidates().forEach(member -> busyShares.put(member.id(), busyShare(input, member)));
        return new MeasuredCapacity(weights, busyShares);
    }

    private static double median(List<Double> sorted) {
        return sorted.isEmpty() ? 0 : (sorted.get((sorted.size() - 1) / 2) + sorted.get(sorted.size() / 2)) / 2;
    }

    private static double busyShare(PlacementInput input, Member member) {
        Double serviceMs = input.serviceMs().get(member.id());
        int slots = member.backend().map(BackendInfo::slots).orElse(0);
        if (serviceMs == null || slots == 0) {
            return 0;
        }
        double perSecond = input.loads().getOrDefault(member.id(), List.of()).stream()
                .mapToDouble(RangeLoad::requestsPerSecond)
                .sum();
        return perSecond * serviceMs / MS_PER_SECOND / slots;
    }

    /** Weights of the candidates, by id; only those that may get ranges. */
    Map<MemberId, Double> weights() {
        return weights;
    }

    /** Share of its slots that the requests of a member's ranges keep busy, above 1 if it cannot do them all. */
    double busyShare(MemberId member) {
        return busyShares.getOrDefault(member, 0.0);
    }
}
