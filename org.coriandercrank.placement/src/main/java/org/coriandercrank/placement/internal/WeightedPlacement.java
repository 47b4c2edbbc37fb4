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

/** First placement of a service: the hash space is split in proportion to weight. Stateless and thread safe. */
final class WeightedPlacement {
    static final int RANGES_PER_MEMBER = 8;

    private WeightedPlacement() {}

    /** Ranges of a member are spread over the hash space, so that its loss loads no single neighbour. */
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

    /** Gives each slot whose owner is no candidate to the candidate with the least load and share for its weight. */
    static void reassignOrphans(WorkingTable table, String reason) {
        Map<MemberId, Double> charges = new TreeMap<>();
        for (MemberId m : table.weights().keySet()) {
            charges.put(m, table.loadRatio(m) + table.share(m) / table.fairShare(m));
        }
        List<Integer> orphans = new ArrayList<>();
        for (int i = 0; i < table.entries().size(); i++) {
            if (!table.weights().containsKey(table.entries().get(i).owner())) {
                orphans.add(i);
            }
        }
        orphans.sort((a, b) -> Double.compare(cost(table, b), cost(table, a)));
        for (int index : orphans) {
            Optional<MemberId> owner = charges.entrySet().stream()
                    .min(Map.Entry.comparingByValue())
                    .map(Map.Entry::getKey);
            if (owner.isPresent()) {
                table.assign(index, owner.get(), reason);
                charges.put(
                        owner.get(),
                        table.loadRatio(owner.get()) + table.share(owner.get()) / table.fairShare(owner.get()));
            }
        }
    }

    private static double cost(WorkingTable table, int index) {
        WorkingTable.Entry entry = table.entries().get(index);
        double loadPart = table.totalLoad() > 0 ? entry.load().perSecond() / table.totalLoad() : 0;
        return loadPart + entry.range().share();
    }
}
