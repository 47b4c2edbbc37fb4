package org.coriandercrank.daemon;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BiPredicate;
import org.coriandercrank.kernel.backend.Grant.GrantedRange;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.table.KeyRanges;

/**
 * Merges the granted ranges of one incarnation of a backend server into rows, because the response to a heartbeat has
 * room for a limited number of rows only.
 *
 * <p>Adjacent ranges with the same fencing token are always merged. Adjacent ranges with different fencing tokens are
 * merged only if there would otherwise be more rows than the limit; the row then has the newest of their tokens.
 *
 * <p>Invariant: the fencing token of a key never decreases, because a server rejects a row if it has seen a newer token
 * on one of its keys. A range that is no longer merged with its neighbour therefore keeps the token of the merged row.
 * This is safe because each token is the generation of an assignment table in which this server owned the row, and
 * later owners receive newer tokens. Not thread safe.
 */
final class GrantRowMerger {
    private final int maxRows;

    /** Rows returned by the latest call of {@link #merge(List, List)}. */
    private List<GrantedRange> lastSentRows = List.of();

    /** @param maxRows number of rows above which adjacent ranges with different fencing tokens are merged */
    GrantRowMerger(int maxRows) {
        this.maxRows = maxRows;
    }

    /**
     * Returns the rows for the next response, sorted by range.
     *
     * @param held rows that the server reports as held, including rows granted by an earlier process of the daemon
     */
    List<GrantedRange> merge(List<GrantedRange> granted, List<GrantedRange> held) {
        List<GrantedRange> sorted = withNewestFences(withNewestFences(sorted(granted), lastSentRows), sorted(held));
        List<GrantedRange> rows =
                mergeAdjacent(sorted, (left, right) -> left.fence().equals(right.fence()));
        lastSentRows = rows.size() <= maxRows ? rows : mergeAdjacent(sorted, (left, right) -> true);
        return lastSentRows;
    }

    private static List<GrantedRange> sorted(List<GrantedRange> ranges) {
        return ranges.stream().sorted(Comparator.comparing(GrantedRange::range)).toList();
    }

    /**
     * Returns the ranges, each with the newest of its own fencing token and the tokens of the rows that overlap it.
     * Takes one pass over both lists, because servers hold hundreds of ranges and send a heartbeat every 100 ms while
     * they release some of them.
     *
     * @param ranges sorted and without overlaps
     * @param rows sorted and without overlaps
     */
    private static List<GrantedRange> withNewestFences(List<GrantedRange> ranges, List<GrantedRange> rows) {
        List<GrantedRange> result = new ArrayList<>(ranges.size());
        int firstRow = 0;
        for (GrantedRange range : ranges) {
            while (firstRow < rows.size()
                    && rows.get(firstRow).range().last().compareTo(range.range().first()) < 0) {
                firstRow++;
            }
            Generation fence = range.fence();
            for (int i = firstRow; i < rows.size() && rows.get(i).range().overlaps(range.range()); i++) {
                fence = rows.get(i).fence().isNewerThan(fence) ? rows.get(i).fence() : fence;
            }
            result.add(fence.equals(range.fence()) ? range : new GrantedRange(range.range(), fence, range.handover()));
        }
        return result;
    }

    private static List<GrantedRange> mergeAdjacent(
            List<GrantedRange> sorted, BiPredicate<GrantedRange, GrantedRange> mayMerge) {
        List<GrantedRange> rows = new ArrayList<>();
        for (GrantedRange range : sorted) {
            int last = rows.size() - 1;
            if (last >= 0 && mayShareRow(rows.get(last), range) && mayMerge.test(rows.get(last), range)) {
                rows.set(last, merge(rows.get(last), range));
            } else {
                rows.add(range);
            }
        }
        return rows;
    }

    /** Whether two ranges are adjacent and can be one row. A range with a handover token keeps a row of its own. */
    private static boolean mayShareRow(GrantedRange left, GrantedRange right) {
        return left.handover().isEmpty()
                && right.handover().isEmpty()
                && KeyRanges.adjacent(left.range(), right.range());
    }

    private static GrantedRange merge(GrantedRange left, GrantedRange right) {
        Generation fence = left.fence().isNewerThan(right.fence()) ? left.fence() : right.fence();
        return new GrantedRange(KeyRanges.join(left.range(), right.range()), fence);
    }
}
