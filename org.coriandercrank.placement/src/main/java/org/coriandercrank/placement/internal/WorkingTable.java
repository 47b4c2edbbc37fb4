package org.coriandercrank.placement.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.placement.PlacedRange;
import org.coriandercrank.kernel.placement.PlacementInput;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;
import org.coriandercrank.kernel.table.RangeAssignment;

/**
 * A table that a policy changes step by step.
 *
 * <p>Not thread safe. The slots are always sorted and cover the same hashes. Load and share of a member are those of
 * its slots. While the service has no load, the share of hash space stands for it.
 */
final class WorkingTable {
    static final String KEPT = "kept";

    /**
     * A range and its owner in the wanted table. Immutable.
     *
     * @param stable whether nobody else may still serve the range
     */
    record Entry(KeyRange range, MemberId owner, RangeLoads.Load load, boolean stable, String reason) {
        boolean moved() {
            return !reason.equals(KEPT);
        }
    }

    private static final double IDLE_TOTAL_PER_SECOND = 1.0;

    /** Below this rate the noise of the counts in a report alone exceeds the marks of the policies. */
    private static final double MIN_MEAN_LOAD_PER_SECOND = 20;

    private final Map<MemberId, Double> weights;
    private final List<Entry> entries = new ArrayList<>();
    private final Map<MemberId, Double> loads = new HashMap<>();
    private final Map<MemberId, Double> shares = new HashMap<>();
    private double totalLoad;
    private final double reportedLoad;
    private final double totalWeight;

    WorkingTable(PlacementInput input) {
        weights = ServerWeights.of(input);
        totalWeight = weights.values().stream().mapToDouble(Double::doubleValue).sum();
        AssignmentTable table = input.table();
        List<RangeLoads.Load> reported = RangeLoads.loadsOf(table, input.loads());
        double totalReportedLoad =
                reported.stream().mapToDouble(RangeLoads.Load::perSecond).sum();
        reportedLoad = totalReportedLoad;
        for (int i = 0; i < reported.size(); i++) {
            RangeAssignment assignment = table.assignments().get(i);
            RangeLoads.Load load = totalReportedLoad >= IDLE_TOTAL_PER_SECOND
                    ? reported.get(i)
                    : new RangeLoads.Load(assignment.range().share(), List.of());
            Entry entry = new Entry(
                    assignment.range(),
                    assignment.owner(),
                    load,
                    assignment.previousOwners().isEmpty(),
                    KEPT);
            entries.add(entry);
            addToTotals(entry, 1);
            totalLoad += load.perSecond();
        }
    }

    Map<MemberId, Double> weights() {
        return weights;
    }

    List<Entry> entries() {
        return entries;
    }

    double load(MemberId member) {
        return loads.getOrDefault(member, 0.0);
    }

    double share(MemberId member) {
        return shares.getOrDefault(member, 0.0);
    }

    /** Load of a member if all had load in proportion to weight. */
    double fairLoad(MemberId member) {
        return totalLoad * weights.get(member) / totalWeight;
    }

    double fairShare(MemberId member) {
        return weights.get(member) / totalWeight;
    }

    /** Whether the reported load is high enough to move ranges for it. */
    boolean isLoadSignificant() {
        return reportedLoad >= MIN_MEAN_LOAD_PER_SECOND * weights.size();
    }

    double totalLoad() {
        return totalLoad;
    }

    /** Load over fair load. */
    double loadRatio(MemberId member) {
        return loadRatio(member, load(member));
    }

    double loadRatio(MemberId member, double load) {
        double fairLoad = fairLoad(member);
        return fairLoad <= 0 ? 0 : load / fairLoad;
    }

    void assign(int index, MemberId owner, String reason) {
        Entry old = entries.get(index);
        addToTotals(old, -1);
        Entry entry = new Entry(old.range(), owner, old.load(), false, reason);
        entries.set(index, entry);
        addToTotals(entry, 1);
    }

    /** Replaces a slot by parts of it with the same owner; returns the index of the first part. */
    int split(int index, List<KeyRange> parts) {
        Entry old = entries.remove(index);
        int insertIndex = index;
        for (KeyRange part : parts) {
            entries.add(
                    insertIndex++,
                    new Entry(part, old.owner(), old.load().partOf(old.range(), part), old.stable(), old.reason()));
        }
        return index;
    }

    /** Joins a slot with the next one, which has the same owner. */
    void mergeWithNext(int index) {
        Entry assignment = entries.get(index);
        Entry b = entries.remove(index + 1);
        entries.set(
                index,
                new Entry(
                        KeyRanges.join(assignment.range(), b.range()),
                        assignment.owner(),
                        assignment.load().plus(b.load()),
                        true,
                        assignment.reason()));
    }

    List<PlacedRange> toPlacedRanges() {
        return entries.stream()
                .map(entry -> new PlacedRange(entry.range(), entry.owner(), entry.reason()))
                .toList();
    }

    private void addToTotals(Entry entry, int sign) {
        loads.merge(entry.owner(), sign * entry.load().perSecond(), Double::sum);
        shares.merge(entry.owner(), sign * entry.range().share(), Double::sum);
    }
}
