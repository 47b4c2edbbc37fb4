package org.coriandercrank.daemon;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BiPredicate;
import org.coriandercrank.kernel.backend.Grant.GrantedRange;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.table.KeyRanges;

/**
 * Joins the granted ranges of one incarnation of a server to rows, of which the server takes a bounded number.
 *
 * <p>Neighbours of one fence are one row. Only above the bound are neighbours of different fences joined, under the newest.
 * A server refuses a row if it has seen a newer fence on one of its keys, so the fence of a key never falls: what is left
 * of a row that was joined keeps the fence of that row. This is safe, because each fence names a generation of the table in
 * which this server owned the row, and later owners get newer ones. Not thread safe.
 */
final class GrantRowMerger {
    private final int maxRows;
    private List<GrantedRange> lastSent = List.of();

    /** @param maxRows rows above which neighbours of different fences are joined */
    GrantRowMerger(int maxRows) {
        this.maxRows = maxRows;
    }

    /**
     * The rows for the next answer, sorted.
     *
     * @param held rows that the server says it holds, among them those that a former process of the daemon granted
     */
    List<GrantedRange> join(List<GrantedRange> granted, List<GrantedRange> held) {
        List<GrantedRange> sorted = raised(raised(sorted(granted), lastSent), sorted(held));
        List<GrantedRange> rows = joined(sorted, (a, b) -> a.fence().equals(b.fence()));
        lastSent = rows.size() <= maxRows ? rows : joined(sorted, (a, b) -> true);
        return lastSent;
    }

    private static List<GrantedRange> sorted(List<GrantedRange> ranges) {
        return ranges.stream().sorted(Comparator.comparing(GrantedRange::range)).toList();
    }

    /**
     * The ranges, each with the newest of its fence and those of rows that overlap it. One pass over both, because servers
     * hold hundreds of ranges and send a heartbeat every 100 ms while they give some up.
     *
     * @param ranges sorted, none overlaps another, as those of {@code rows}
     */
    private static List<GrantedRange> raised(List<GrantedRange> ranges, List<GrantedRange> rows) {
        List<GrantedRange> raised = new ArrayList<>(ranges.size());
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
            raised.add(fence.equals(range.fence()) ? range : new GrantedRange(range.range(), fence, range.handover()));
        }
        return raised;
    }

    private static List<GrantedRange> joined(
            List<GrantedRange> sorted, BiPredicate<GrantedRange, GrantedRange> mayJoin) {
        List<GrantedRange> rows = new ArrayList<>();
        for (GrantedRange range : sorted) {
            int last = rows.size() - 1;
            if (last >= 0 && areNeighbours(rows.get(last), range) && mayJoin.test(rows.get(last), range)) {
                rows.set(last, join(rows.get(last), range));
            } else {
                rows.add(range);
            }
        }
        return rows;
    }

    /** A range with a token of its last server stays a row of its own. */
    private static boolean areNeighbours(GrantedRange a, GrantedRange b) {
        return a.handover().isEmpty() && b.handover().isEmpty() && KeyRanges.adjacent(a.range(), b.range());
    }

    private static GrantedRange join(GrantedRange a, GrantedRange b) {
        Generation fence = a.fence().isNewerThan(b.fence()) ? a.fence() : b.fence();
        return new GrantedRange(KeyRanges.join(a.range(), b.range()), fence);
    }
}
