package org.coriandercrank.daemon;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.coriandercrank.kernel.backend.Grant.GrantedRange;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;

/**
 * Merges the granted ranges of one incarnation of a backend server into rows, because the response to a heartbeat has
 * limited room.
 *
 * <p>Adjacent ranges with the same fencing token are always merged. If the rows do not fit then, adjacent ranges with
 * different fencing tokens are merged, too, and the row has the newest of their tokens; if they still do not fit, also
 * ranges with a handover token, which is dropped. Rows for which there is no room even so are left out, first those
 * that the server has not been granted before.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>The fencing token of a key never decreases, because a server rejects a row if it has seen a newer token on one
 *       of its keys. A range that is no longer merged with its neighbour therefore keeps the token of the merged row.
 *   <li>The fencing token of a key is below those of its later owners. Merging therefore raises the token of a range at
 *       most to the generation of a table that assigns the range to the member. A range that is being moved to another
 *       member is not merged under a newer token.
 * </ul>
 *
 * <p>Not thread safe.
 */
final class GrantRowMerger {
    /** A row and the newest fencing token that it may have. Immutable. */
    private record Candidate(GrantedRange row, Generation newestFence) {}

    private final RowLimit limit;
    private final Supplier<AssignedRanges> assignedRanges;

    /** Rows of the latest call of {@link #merge(List, List)}, including those that were left out. */
    private List<GrantedRange> lastRows = List.of();

    private List<GrantedRange> lastSentRows = List.of();
    private List<GrantedRange> leftOutRows = List.of();

    /** @param assignedRanges the ranges that the latest known table assigns to the member of this daemon */
    GrantRowMerger(RowLimit limit, Supplier<AssignedRanges> assignedRanges) {
        this.limit = limit;
        this.assignedRanges = assignedRanges;
    }

    /**
     * Returns the rows for the next response, sorted by range.
     *
     * @param held rows that the server reports as held, including rows granted by an earlier process of the daemon
     */
    List<GrantedRange> merge(List<GrantedRange> granted, List<GrantedRange> held) {
        List<GrantedRange> sortedHeld = sorted(held);
        List<GrantedRange> ranges = withNewestFences(withNewestFences(sorted(granted), lastRows), sortedHeld);
        List<GrantedRange> rows = mergeAdjacent(ranges, AssignedRanges.none(), false);
        if (!limit.allows(rows)) {
            AssignedRanges assigned = assignedRanges.get();
            rows = mergeAdjacent(ranges, assigned, false);
            rows = limit.allows(rows) ? rows : mergeAdjacent(ranges, assigned, true);
        }
        lastRows = rows;
        leftOutRows = limit.allows(rows) ? List.of() : rowsWithoutRoom(rows, sortedHeld);
        Set<GrantedRange> leftOut = new HashSet<>(leftOutRows);
        lastSentRows = rows.stream().filter(row -> !leftOut.contains(row)).toList();
        return lastSentRows;
    }

    /** Returns the rows that the latest call of {@link #merge(List, List)} left out for lack of room. */
    List<GrantedRange> leftOutRows() {
        return leftOutRows;
    }

    private List<GrantedRange> rowsWithoutRoom(List<GrantedRange> rows, List<GrantedRange> sortedHeld) {
        List<GrantedRange> byPreference = new ArrayList<>(rows.size());
        List<GrantedRange> neverGranted = new ArrayList<>();
        for (GrantedRange row : rows) {
            boolean grantedBefore = overlapsAny(row, lastSentRows) || overlapsAny(row, sortedHeld);
            (grantedBefore ? byPreference : neverGranted).add(row);
        }
        byPreference.addAll(neverGranted);
        List<GrantedRange> withoutRoom = new ArrayList<>();
        int sizeLeft = limit.maxSize();
        for (GrantedRange row : byPreference) {
            int size = limit.sizeOf().applyAsInt(row);
            if (size <= sizeLeft) {
                sizeLeft -= size;
            } else {
                withoutRoom.add(row);
            }
        }
        return sorted(withoutRoom);
    }

    private static boolean overlapsAny(GrantedRange row, List<GrantedRange> sortedRows) {
        return !KeyRanges.overlapping(sortedRows, GrantedRange::range, row.range())
                .isEmpty();
    }

    private static List<GrantedRange> sorted(List<GrantedRange> ranges) {
        return ranges.stream().sorted(Comparator.comparing(GrantedRange::range)).toList();
    }

    /**
     * Returns the ranges, each key with the newest of the fencing tokens of its range and of the rows that contain it.
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
            List<GrantedRange> newer = new ArrayList<>();
            for (int i = firstRow; i < rows.size() && rows.get(i).range().overlaps(range.range()); i++) {
                if (rows.get(i).fence().isNewerThan(range.fence())) {
                    newer.add(rows.get(i));
                }
            }
            addWithNewestFences(range, newer, result);
        }
        return result;
    }

    /** Adds a range, split at the borders of the rows with newer fencing tokens that overlap it. */
    private static void addWithNewestFences(GrantedRange range, List<GrantedRange> newer, List<GrantedRange> result) {
        if (newer.isEmpty()) {
            result.add(range);
            return;
        }
        KeyRange whole = range.range();
        TreeSet<KeyHash> firsts = new TreeSet<>(List.of(whole.first()));
        for (GrantedRange row : newer) {
            if (whole.contains(row.range().first())) {
                firsts.add(row.range().first());
            }
            if (row.range().last().compareTo(whole.last()) < 0) {
                firsts.add(KeyRanges.next(row.range().last()));
            }
        }
        for (KeyHash first : firsts) {
            KeyHash next = firsts.higher(first);
            KeyRange part = new KeyRange(first, next == null ? whole.last() : KeyRanges.previous(next));
            Generation fence = range.fence();
            for (GrantedRange row : newer) {
                fence = row.range().overlaps(part) ? newer(fence, row.fence()) : fence;
            }
            result.add(new GrantedRange(part, fence, range.handover()));
        }
    }

    /**
     * Merges adjacent ranges.
     *
     * @param assigned ranges whose fencing tokens may be raised
     * @param dropHandovers whether ranges with a handover token are merged, too
     */
    private static List<GrantedRange> mergeAdjacent(
            List<GrantedRange> ranges, AssignedRanges assigned, boolean dropHandovers) {
        List<Candidate> merged = new ArrayList<>();
        for (GrantedRange range : ranges) {
            Candidate right = new Candidate(range, newer(range.fence(), assigned.newestFence(range.range())));
            int last = merged.size() - 1;
            if (last >= 0 && mayShareRow(merged.get(last), right, dropHandovers)) {
                merged.set(last, merge(merged.get(last), right));
            } else {
                merged.add(right);
            }
        }
        return merged.stream().map(Candidate::row).toList();
    }

    private static boolean mayShareRow(Candidate left, Candidate right, boolean dropHandovers) {
        Candidate merged = merge(left, right);
        boolean withoutHandovers =
                left.row().handover().isEmpty() && right.row().handover().isEmpty();
        return (withoutHandovers || dropHandovers)
                && KeyRanges.adjacent(left.row().range(), right.row().range())
                && !merged.row().fence().isNewerThan(merged.newestFence());
    }

    private static Candidate merge(Candidate left, Candidate right) {
        KeyRange range = KeyRanges.join(left.row().range(), right.row().range());
        Generation newestFence =
                left.newestFence().isNewerThan(right.newestFence()) ? right.newestFence() : left.newestFence();
        return new Candidate(
                new GrantedRange(range, newer(left.row().fence(), right.row().fence())), newestFence);
    }

    private static Generation newer(Generation a, Generation b) {
        return a.isNewerThan(b) ? a : b;
    }
}
