package org.coriandercrank.placement.internal;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.message.LoadReport;
import org.coriandercrank.kernel.placement.PlacedRange;
import org.coriandercrank.kernel.placement.RangeLoad;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;
import org.coriandercrank.kernel.table.RangeAssignment;

/**
 * Makes the next table from a table and wanted owners. Stateless and thread safe.
 *
 * <p>A hash that keeps its owner keeps its fence, or gets that of an adjacent range with which its range is merged; both
 * name generations that assigned the hash to that owner. A hash that changes its owner gets the new generation, and its
 * old owner joins the previous owners unless it is gone.
 */
public final class TableBuilder {
    /** A change of owner. Immutable. */
    public record Change(KeyRange range, Optional<MemberId> from, MemberId to, Generation fence, String reason) {}

    /** A table and the changes that led to it. Immutable. */
    public record Result(AssignmentTable table, List<Change> changes) {
        public Result {
            changes = List.copyOf(changes);
        }
    }

    private record Segment(RangeAssignment assignment, boolean unchanged) {}

    private TableBuilder() {}

    /**
     * Removes previous owners that are gone, and all previous owners of a range that its owner serves under its fence.
     */
    public static List<RangeAssignment> clearPreviousOwners(
            AssignmentTable table, Predicate<MemberId> gone, Map<MemberId, LoadReport> reports) {
        List<RangeAssignment> cleared = new ArrayList<>(table.assignments().size());
        for (RangeAssignment a : table.assignments()) {
            if (a.previousOwners().isEmpty()) {
                cleared.add(a);
                continue;
            }
            List<MemberId> remaining = isServed(a, reports.get(a.owner()))
                    ? List.of()
                    : a.previousOwners().stream().filter(gone.negate()).toList();
            cleared.add(new RangeAssignment(a.range(), a.owner(), a.fence(), remaining));
        }
        return cleared;
    }

    private static boolean isServed(RangeAssignment assignment, LoadReport report) {
        if (report == null) {
            return false;
        }
        List<KeyRange> served = report.ranges().stream()
                .filter(r -> r.serving() && r.fence().equals(assignment.fence()))
                .map(RangeLoad::range)
                .filter(r -> r.overlaps(assignment.range()))
                .toList();
        return KeyRanges.subtract(assignment.range(), served).isEmpty();
    }

    /**
     * Applies wanted owners.
     *
     * @param current assignments of the present table, with cleared previous owners
     * @param mayHold members that may still serve a hash which the present table assigns to nobody
     */
    public static Result build(
            AssignmentTable table,
            List<RangeAssignment> current,
            List<PlacedRange> wanted,
            Predicate<MemberId> gone,
            Set<MemberId> mayHold) {
        Generation next = new Generation(table.generation().value() + 1);
        List<RangeAssignment> assignments = new ArrayList<>();
        List<Change> changes = new ArrayList<>();
        int from = 0;
        for (PlacedRange want : wanted) {
            while (from < current.size()
                    && current.get(from).range().last().compareTo(want.range().first()) < 0) {
                from++;
            }
            List<Segment> pieces = segments(current, from, want, next, gone, mayHold, changes);
            mergeUnchanged(pieces).forEach(assignments::add);
        }
        return new Result(new AssignmentTable(table.service(), next, assignments), changes);
    }

    private static List<Segment> segments(
            List<RangeAssignment> current,
            int from,
            PlacedRange want,
            Generation next,
            Predicate<MemberId> gone,
            Set<MemberId> mayHold,
            List<Change> changes) {
        List<Segment> pieces = new ArrayList<>();
        List<KeyRange> covered = new ArrayList<>();
        for (int i = from; i < current.size(); i++) {
            RangeAssignment old = current.get(i);
            if (old.range().first().compareTo(want.range().last()) > 0) {
                break;
            }
            KeyRange common = KeyRanges.intersect(old.range(), want.range()).orElseThrow();
            covered.add(common);
            if (old.owner().equals(want.owner())) {
                pieces.add(
                        new Segment(new RangeAssignment(common, old.owner(), old.fence(), old.previousOwners()), true));
                continue;
            }
            Set<MemberId> previous = new LinkedHashSet<>();
            previous.add(old.owner());
            previous.addAll(old.previousOwners());
            pieces.add(reassigned(common, want.owner(), next, previous, gone));
            changes.add(new Change(common, Optional.of(old.owner()), want.owner(), next, want.reason()));
        }
        for (KeyRange hole : KeyRanges.subtract(want.range(), covered)) {
            pieces.add(reassigned(hole, want.owner(), next, mayHold, gone));
            changes.add(new Change(hole, Optional.empty(), want.owner(), next, want.reason()));
        }
        pieces.sort((a, b) -> a.assignment.range().compareTo(b.assignment.range()));
        return pieces;
    }

    private static Segment reassigned(
            KeyRange range, MemberId owner, Generation fence, Set<MemberId> previous, Predicate<MemberId> gone) {
        List<MemberId> remaining =
                previous.stream().filter(m -> !m.equals(owner) && !gone.test(m)).toList();
        return new Segment(new RangeAssignment(range, owner, fence, remaining), false);
    }

    private static List<RangeAssignment> mergeUnchanged(List<Segment> pieces) {
        List<RangeAssignment> joined = new ArrayList<>();
        boolean lastMayJoin = false;
        for (Segment piece : pieces) {
            RangeAssignment a = piece.assignment;
            boolean mayJoin = piece.unchanged && a.previousOwners().isEmpty();
            if (mayJoin && lastMayJoin) {
                RangeAssignment last = joined.remove(joined.size() - 1);
                Generation fence = last.fence().isNewerThan(a.fence()) ? last.fence() : a.fence();
                a = new RangeAssignment(KeyRanges.join(last.range(), a.range()), a.owner(), fence, List.of());
            }
            joined.add(a);
            lastMayJoin = mayJoin;
        }
        return joined;
    }
}
