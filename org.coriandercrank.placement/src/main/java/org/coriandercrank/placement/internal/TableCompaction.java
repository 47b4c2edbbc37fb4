package org.coriandercrank.placement.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.table.KeyRanges;

/**
 * Bounds the number of ranges of a table. Bounds per member are averages over the candidates. Stateless and thread
 * safe.
 */
final class TableCompaction {
    static final int MAX_RANGES_PER_MEMBER = 16;
    private static final int MERGE_ABOVE_PER_MEMBER = 10;
    private static final int REASSIGN_ABOVE_PER_MEMBER = 13;
    private static final int MAX_REASSIGNED_FRAGMENTS = 16;
    private static final int RANGES_ADDED_BY_SPLIT = 2;

    /** Load of a hot range, as a fraction of the mean load of a server. */
    private static final double HOT_LOAD_RATIO = 0.05;

    /** Largest hash space of a fragment, as a fraction of the mean hash space of a server. */
    private static final double FRAGMENT_SHARE_RATIO = 0.03;

    private TableCompaction() {}

    /** Whether a range may be split without exceeding {@link #MAX_RANGES_PER_MEMBER}. */
    static boolean maySplit(WorkingTable table) {
        return table.entries().size() + RANGES_ADDED_BY_SPLIT
                <= MAX_RANGES_PER_MEMBER * table.weights().size();
    }

    /**
     * Merges adjacent ranges of the same owner, the smallest first, while the table has more ranges than
     * {@link #MERGE_ABOVE_PER_MEMBER} allows. If more than {@link #REASSIGN_ABOVE_PER_MEMBER} remain, fragments are
     * reassigned to the owner of an adjacent range: small ranges with little load, such as single hashes that are no
     * longer hot. The bound for reassigning is higher, because merging has no cost, while the keys of a reassigned
     * range are unavailable during its move.
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
