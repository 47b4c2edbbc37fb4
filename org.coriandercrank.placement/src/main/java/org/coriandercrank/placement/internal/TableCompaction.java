package org.coriandercrank.placement.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.table.KeyRanges;

/** Keeps the number of ranges of a table bounded. Stateless and thread safe. */
final class TableCompaction {
    static final int MAX_RANGES_PER_MEMBER = 16;
    private static final int MERGE_ABOVE_PER_MEMBER = 10;
    private static final int REASSIGN_ABOVE_PER_MEMBER = 13;
    private static final int MAX_REASSIGNED_FRAGMENTS = 16;
    private static final int RANGES_ADDED_BY_SPLIT = 2;
    private static final double HOT_LOAD_RATIO = 0.05;
    private static final double FRAGMENT_SHARE_RATIO = 0.03;

    private TableCompaction() {}

    static boolean maySplit(WorkingTable table) {
        return table.entries().size() + RANGES_ADDED_BY_SPLIT
                <= MAX_RANGES_PER_MEMBER * table.weights().size();
    }

    /**
     * Merges adjacent ranges of one owner while the table is above its first bound, the smallest first. If it stays
     * above the second bound, small ranges without much load, such as hashes that are no longer hot, go to the owner of
     * a neighbour. A merge costs nothing, but a return is a move during which its keys are not served.
     */
    static void compact(WorkingTable table) {
        int servers = table.weights().size();
        int toMerge = table.entries().size() - MERGE_ABOVE_PER_MEMBER * servers;
        if (toMerge > 0) {
            mergeNeighbours(table, toMerge);
        }
        int toReassign = table.entries().size() - REASSIGN_ABOVE_PER_MEMBER * servers;
        if (toReassign > 0) {
            reassignFragments(table, Math.min(MAX_REASSIGNED_FRAGMENTS, toReassign));
        }
    }

    private static void reassignFragments(WorkingTable table, int limit) {
        List<WorkingTable.Entry> entries = table.entries();
        IntStream.range(1, entries.size() - 1)
                .filter(i -> isColdFragment(table, i))
                .boxed()
                .sorted(Comparator.comparingDouble(i -> entries.get(i).range().share()))
                .limit(limit)
                .forEach(i -> {
                    MemberId left = entries.get(i - 1).owner();
                    MemberId right = entries.get(i + 1).owner();
                    boolean toLeft = left.equals(right) || table.loadRatio(left) <= table.loadRatio(right);
                    table.assign(i, toLeft ? left : right, "rejoin");
                });
    }

    private static boolean isColdFragment(WorkingTable table, int index) {
        WorkingTable.Entry entry = table.entries().get(index);
        return entry.stable()
                && !entry.moved()
                && entry.range().share()
                        <= FRAGMENT_SHARE_RATIO / table.weights().size()
                && !isHot(table, entry)
                && !table.entries().get(index - 1).owner().equals(entry.owner())
                && !table.entries().get(index + 1).owner().equals(entry.owner());
    }

    private static void mergeNeighbours(WorkingTable table, int excess) {
        List<Integer> mergeable = new ArrayList<>();
        List<WorkingTable.Entry> entries = table.entries();
        for (int i = 0; i + 1 < entries.size(); i++) {
            if (mayMerge(table, entries.get(i), entries.get(i + 1))) {
                mergeable.add(i);
            }
        }
        mergeable.sort(Comparator.comparingDouble(
                i -> entries.get(i).range().share() + entries.get(i + 1).range().share()));
        mergeable.subList(0, Math.min(excess, mergeable.size())).stream()
                .sorted(Comparator.reverseOrder())
                .forEach(table::mergeWithNext);
    }

    private static boolean mayMerge(WorkingTable table, WorkingTable.Entry a, WorkingTable.Entry b) {
        return a.owner().equals(b.owner())
                && a.stable()
                && b.stable()
                && !a.moved()
                && !b.moved()
                && KeyRanges.adjacent(a.range(), b.range())
                && !(KeyRanges.isSingleHash(a.range()) && isHot(table, a))
                && !(KeyRanges.isSingleHash(b.range()) && isHot(table, b));
    }

    private static boolean isHot(WorkingTable table, WorkingTable.Entry entry) {
        return entry.load().perSecond()
                > HOT_LOAD_RATIO * table.totalLoad() / table.weights().size();
    }
}
