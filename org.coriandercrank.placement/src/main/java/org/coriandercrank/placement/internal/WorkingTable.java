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
 * A mutable copy of a table that a policy modifies step by step.
 *
 * <p>Not thread safe. The entries are always sorted, and the hashes that they cover do not change. The load and the
 * share of a member are the sums over its entries. If the service has no load, the share of the hash space is used as
 * load.
 */
final class WorkingTable {
    /** Reason of an entry whose owner has not changed. */
    static final String KEPT = "kept";

    /**
     * A range and its owner in the wanted table. Immutable.
     *
     * @param stable whether no transfer of the range is in progress, so that no previous owner may still serve it
     */
    record Entry(KeyRange range, MemberId owner, RangeLoads.Load load, boolean stable, String reason) {
        boolean moved() {
            return !reason.equals(KEPT);
        }
    }

    /** Load of a service, in requests per second, below which the service counts as idle. */
    private static final double IDLE_TOTAL_PER_SECOND = 1.0;

    /**
     * Mean load of a server, in requests per second, below which the statistical noise of the reported loads alone
     * exceeds the watermarks of the policies.
     */
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

    /** The load of a member, in requests per second. */
    double load(MemberId member) {
        return loads.getOrDefault(member, 0.0);
    }

    /** The share of the hash space that a member owns, 0 to 1. */
    double share(MemberId member) {
        return shares.getOrDefault(member, 0.0);
    }

    /** The load of a member if the total load were distributed in proportion to weight. */
    double fairLoad(MemberId member) {
        return totalLoad * weights.get(member) / totalWeight;
    }

    /** The share of the hash space of a member if it were distributed in proportion to weight. */
    double fairShare(MemberId member) {
        return weights.get(member) / totalWeight;
    }

    /** Whether the reported load is high enough to move ranges because of load. */
    boolean isLoadSignificant() {
        return reportedLoad >= MIN_MEAN_LOAD_PER_SECOND * weights.size();
    }

    double totalLoad() {
        return totalLoad;
    }

    /** The load of a member over its fair load. */
    double loadRatio(MemberId member) {
        return loadRatio(member, load(member));
    }

    double loadRatio(MemberId member, double load) {
        double fairLoad = fairLoad(member);
        return fairLoad <= 0 ? 0 : load / fairLoad;
    }

    /** Changes the owner of an entry. */
    void assign(int index, MemberId owner, String reason) {
        Entry replacedEntry = entries.get(index);
        addToTotals(replacedEntry, -1);
        Entry entry = new Entry(replacedEntry.range(), owner, replacedEntry.load(), false, reason);
        entries.set(index, entry);
        addToTotals(entry, 1);
    }

    /**
     * Replaces an entry by parts of it that have the same owner.
     *
     * @return the index of the first part
     */
    int split(int index, List<KeyRange> parts) {
        Entry replacedEntry = entries.remove(index);
        int insertIndex = index;
        for (KeyRange part : parts) {
            entries.add(
                    insertIndex++,
                    new Entry(
                            part,
                            replacedEntry.owner(),
                            replacedEntry.load().partOf(replacedEntry.range(), part),
                            replacedEntry.stable(),
                            replacedEntry.reason()));
        }
        return index;
    }

    /** Merges an entry with the next one, which must have the same owner. */
    void mergeWithNext(int index) {
        Entry entry = entries.get(index);
        Entry next = entries.remove(index + 1);
        entries.set(
                index,
                new Entry(
                        KeyRanges.join(entry.range(), next.range()),
                        entry.owner(),
                        entry.load().plus(next.load()),
                        true,
                        entry.reason()));
    }

    /** The entries as the result of a policy. */
    List<PlacedRange> toPlacedRanges() {
        return entries.stream()
                .map(entry -> new PlacedRange(entry.range(), entry.owner(), entry.reason()))
                .toList();
    }

    /** Adds an entry to the load and share of its owner, or subtracts it if {@code sign} is -1. */
    private void addToTotals(Entry entry, int sign) {
        loads.merge(entry.owner(), sign * entry.load().perSecond(), Double::sum);
        shares.merge(entry.owner(), sign * entry.range().share(), Double::sum);
    }
}
