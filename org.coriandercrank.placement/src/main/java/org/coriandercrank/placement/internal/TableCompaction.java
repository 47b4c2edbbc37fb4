package org.coriandercrank.placement.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.coriandercrank.kernel.id.MemberId;

/** Keeps the number of ranges of a table bounded. Stateless and thread safe. */
final class TableCompaction {
    static final int MAX_RANGES_PER_MEMBER = 16;
    private static final int MERGE_ABOVE_PER_MEMBER = 10;
    private static final int MAX_RETURNS = 16;
    private static final int RANGES_ADDED_BY_SPLIT = 2;
    private static final double HOT_RATIO = 0.02;

    private TableCompaction() {}

    static boolean maySplit(WorkingTable table) {
        return table.slots().size() + RANGES_ADDED_BY_SPLIT
                <= MAX_RANGES_PER_MEMBER * table.weights().size();
    }

    /**
     * Merges adjacent ranges of one owner while the table is above its soft bound, the smallest load first, and gives
     * single hashes that are no longer hot back to the owner around them.
     */
    static void compact(WorkingTable table) {
        int softBound = MERGE_ABOVE_PER_MEMBER * table.weights().size();
        int excess = table.slots().size() - softBound;
        if (excess <= 0) {
            return;
        }
        returnColdHashes(table, Math.min(MAX_RETURNS, excess));
        mergeNeighbours(table, excess);
    }

    private static void returnColdHashes(WorkingTable table, int limit) {
        int returned = 0;
        List<WorkingTable.Slot> slots = table.slots();
        for (int i = 1; i < slots.size() - 1 && returned < limit; i++) {
            WorkingTable.Slot slot = slots.get(i);
            MemberId around = slots.get(i - 1).owner();
            boolean enclosed = around.equals(slots.get(i + 1).owner()) && !around.equals(slot.owner());
            if (enclosed
                    && slot.settled()
                    && !slot.moved()
                    && KeyRanges.isSingleHash(slot.range())
                    && !isHot(table, slot)) {
                table.assign(i, around, "no-longer-hot");
                returned++;
            }
        }
    }

    private static void mergeNeighbours(WorkingTable table, int excess) {
        List<Integer> mergeable = new ArrayList<>();
        List<WorkingTable.Slot> slots = table.slots();
        for (int i = 0; i + 1 < slots.size(); i++) {
            if (mayMerge(table, slots.get(i), slots.get(i + 1))) {
                mergeable.add(i);
            }
        }
        mergeable.sort(Comparator.comparingDouble(
                i -> slots.get(i).range().share() + slots.get(i + 1).range().share()));
        mergeable.subList(0, Math.min(excess, mergeable.size())).stream()
                .sorted(Comparator.reverseOrder())
                .forEach(table::joinWithNext);
    }

    private static boolean mayMerge(WorkingTable table, WorkingTable.Slot a, WorkingTable.Slot b) {
        return a.owner().equals(b.owner())
                && a.settled()
                && b.settled()
                && !a.moved()
                && !b.moved()
                && KeyRanges.adjacent(a.range(), b.range())
                && !(KeyRanges.isSingleHash(a.range()) && isHot(table, a))
                && !(KeyRanges.isSingleHash(b.range()) && isHot(table, b));
    }

    private static boolean isHot(WorkingTable table, WorkingTable.Slot slot) {
        return slot.load().perSecond()
                > HOT_RATIO * table.totalLoad() / table.weights().size();
    }
}
