package org.coriandercrank.placement.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.placement.PlacedRange;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;

/** Distributes ranges to members in proportion to their weights. Stateless and thread safe. */
final class WeightedPlacement {
    static final int RANGES_PER_MEMBER = 8;

    private WeightedPlacement() {}

    /**
     * The first placement of a service. Each member gets several ranges that are spread over the hash space, so that
     * after its loss the load is not taken over by a single member.
     */
    static List<PlacedRange> place(Map<MemberId, Double> weights) {
        List<MemberId> owners = new ArrayList<>();
        List<Double> parts = new ArrayList<>();
        for (int i = 0; i < RANGES_PER_MEMBER; i++) {
            weights.forEach((member, weight) -> {
                owners.add(member);
                parts.add(weight);
            });
        }
        List<KeyRange> ranges = KeyRanges.divide(parts);
        List<PlacedRange> placed = new ArrayList<>();
        for (int i = 0; i < ranges.size(); i++) {
            placed.add(new PlacedRange(ranges.get(i), owners.get(i), "initial"));
        }
        return placed;
    }

    /**
     * Reassigns each entry whose owner is not a candidate, the largest first, to the candidate with the lowest
     * utilization: the sum of its load over its fair load and its share of the hash space over its fair share.
     */
    static void reassignOrphans(WorkingTable table, String reason) {
        Map<MemberId, Double> utilizations = new TreeMap<>();
        for (MemberId m : table.weights().keySet()) {
            utilizations.put(m, table.loadRatio(m) + table.share(m) / table.fairShare(m));
        }
        List<Integer> orphanIndexes = new ArrayList<>();
        for (int i = 0; i < table.entries().size(); i++) {
            if (!table.weights().containsKey(table.entries().get(i).owner())) {
                orphanIndexes.add(i);
            }
        }
        orphanIndexes.sort((a, b) -> Double.compare(size(table, b), size(table, a)));
        for (int index : orphanIndexes) {
            Optional<MemberId> owner = utilizations.entrySet().stream()
                    .min(Map.Entry.comparingByValue())
                    .map(Map.Entry::getKey);
            if (owner.isPresent()) {
                table.assign(index, owner.get(), reason);
                utilizations.put(
                        owner.get(),
                        table.loadRatio(owner.get()) + table.share(owner.get()) / table.fairShare(owner.get()));
            }
        }
    }

    /** Size of an entry: its part of the total load plus its share of the hash space. */
    private static double size(WorkingTable table, int index) {
        WorkingTable.Entry entry = table.entries().get(index);
        double loadPart = table.totalLoad() > 0 ? entry.load().perSecond() / table.totalLoad() : 0;
        return loadPart + entry.range().share();
    }
}
