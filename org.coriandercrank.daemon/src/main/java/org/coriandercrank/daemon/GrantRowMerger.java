package org.coriandercrank.daemon;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BiPredicate;
import org.coriandercrank.kernel.backend.Grant.GrantedRange;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.table.KeyRanges;

/**
 * Merges the granted ranges of one incarnation of a backend server into rows, because the server accepts only a limited
 * number of rows.
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
    private List<GrantedRange> lastSent = List.of();

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
        List<GrantedRange> sorted = withNewestFences(withNewestFences(sorted(granted), lastSent), sorted(held));
        List<GrantedRange> rows = mergeAdjacent(sorted, (a, b) -> a.fence().equals(b.fence()));
        lastSent = rows.size() <= maxRows ? rows : mergeAdjacent(sorted, (a, b) -> true);
        return lastSent;
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
        int first = 0;
        for (GrantedRange range : ranges) {
            while (first < rows.size()
                    && rows.get(first).range().last().compareTo(range.range().first()) < 0) {
                first++;
            }
            Generation fence = range.fence();
            for (int i = first; i < rows.size() && rows.get(i).range().overlaps(range.range()); i++) {
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

    /** A range with a handover token of its previous owner is never merged. */
    private static boolean mayShareRow(GrantedRange a, GrantedRange b) {
        return a.handover().isEmpty() && b.handover().isEmpty() && KeyRanges.adjacent(a.range(), b.range());
    }

    private static GrantedRange merge(GrantedRange a, GrantedRange b) {
        Generation fence = a.fence().isNewerThan(b.fence()) ? a.fence() : b.fence();
        return new GrantedRange(KeyRanges.join(a.range(), b.range()), fence);
    }
}
