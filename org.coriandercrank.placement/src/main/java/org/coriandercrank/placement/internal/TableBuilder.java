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
 * Builds the next table from the current table and the wanted owners. Stateless and thread safe.
 *
 * <p>A hash whose owner does not change keeps its fencing token, or gets that of an adjacent range that its range is
 * merged with. Both tokens are generations of tables that assigned the hash to that owner. A hash whose owner changes
 * gets the new generation as its fencing token, and its old owner is added to the previous owners unless the record of
 * the old owner is sealed or missing.
 */
public final class TableBuilder {
    /**
     * The change of the owner of a range. Immutable.
     *
     * @param from the old owner; empty if the range had none
     */
    public record Change(KeyRange range, Optional<MemberId> from, MemberId to, Generation fence, String reason) {}

    /** A table and the changes of owners in it. Immutable. */
    public record Result(AssignmentTable table, List<Change> changes) {
        public Result {
            changes = List.copyOf(changes);
        }
    }

    /** An assignment in the next table, and whether its owner is that of the current table. */
    private record Segment(RangeAssignment assignment, boolean unchanged) {}

    private TableBuilder() {}

    /**
     * Removes previous owners whose record is sealed or missing, and all previous owners of a range that its owner
     * reports as served under its fencing token.
     */
    public static List<RangeAssignment> clearPreviousOwners(
            AssignmentTable table, Predicate<MemberId> isRemoved, Map<MemberId, LoadReport> reports) {
        List<RangeAssignment> cleared = new ArrayList<>(table.assignments().size());
        for (RangeAssignment assignment : table.assignments()) {
            if (assignment.previousOwners().isEmpty()) {
                cleared.add(assignment);
                continue;
            }
            List<MemberId> remaining = isServed(assignment, reports.get(assignment.owner()))
                    ? List.of()
                    : assignment.previousOwners().stream()
                            .filter(isRemoved.negate())
                            .toList();
            cleared.add(new RangeAssignment(assignment.range(), assignment.owner(), assignment.fence(), remaining));
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
     * Builds the next table.
     *
     * @param table the current table
     * @param current the assignments of the current table after {@link #clearPreviousOwners}
     * @param wanted the wanted ranges and owners, sorted
     * @param isRemoved whether the record of a member is sealed or missing
     * @param potentialHolders members that may still serve a hash that the current table assigns to no member
     */
    public static Result build(
            AssignmentTable table,
            List<RangeAssignment> current,
            List<PlacedRange> wanted,
            Predicate<MemberId> isRemoved,
            Set<MemberId> potentialHolders) {
        Generation next = table.generation().next(table.generation().era());
        List<RangeAssignment> assignments = new ArrayList<>();
        List<Change> changes = new ArrayList<>();
        int firstIndex = 0;
        for (PlacedRange wantedRange : wanted) {
            while (firstIndex < current.size()
                    && current.get(firstIndex)
                                    .range()
                                    .last()
                                    .compareTo(wantedRange.range().first())
                            < 0) {
                firstIndex++;
            }
            List<Segment> segments =
                    segments(current, firstIndex, wantedRange, next, isRemoved, potentialHolders, changes);
            mergeUnchanged(segments).forEach(assignments::add);
        }
        return new Result(new AssignmentTable(table.service(), next, assignments), changes);
    }

    /** The assignments for one wanted range; adds the changes of owners to {@code changes}. */
    private static List<Segment> segments(
            List<RangeAssignment> current,
            int firstIndex,
            PlacedRange wantedRange,
            Generation next,
            Predicate<MemberId> isRemoved,
            Set<MemberId> potentialHolders,
            List<Change> changes) {
        List<Segment> segments = new ArrayList<>();
        List<KeyRange> covered = new ArrayList<>();
        for (int i = firstIndex; i < current.size(); i++) {
            RangeAssignment currentAssignment = current.get(i);
            if (currentAssignment.range().first().compareTo(wantedRange.range().last()) > 0) {
                break;
            }
            KeyRange intersection = KeyRanges.intersect(currentAssignment.range(), wantedRange.range())
                    .orElseThrow();
            covered.add(intersection);
            if (currentAssignment.owner().equals(wantedRange.owner())) {
                segments.add(new Segment(
                        new RangeAssignment(
                                intersection,
                                currentAssignment.owner(),
                                currentAssignment.fence(),
                                currentAssignment.previousOwners()),
                        true));
                continue;
            }
            Set<MemberId> previous = new LinkedHashSet<>();
            previous.add(currentAssignment.owner());
            previous.addAll(currentAssignment.previousOwners());
            segments.add(reassigned(intersection, wantedRange.owner(), next, previous, isRemoved));
            changes.add(new Change(
                    intersection,
                    Optional.of(currentAssignment.owner()),
                    wantedRange.owner(),
                    next,
                    wantedRange.reason()));
        }
        for (KeyRange gap : KeyRanges.subtract(wantedRange.range(), covered)) {
            segments.add(reassigned(gap, wantedRange.owner(), next, potentialHolders, isRemoved));
            changes.add(new Change(gap, Optional.empty(), wantedRange.owner(), next, wantedRange.reason()));
        }
        segments.sort((a, b) -> a.assignment.range().compareTo(b.assignment.range()));
        return segments;
    }

    private static Segment reassigned(
            KeyRange range, MemberId owner, Generation fence, Set<MemberId> previous, Predicate<MemberId> isRemoved) {
        List<MemberId> remaining = previous.stream()
                .filter(m -> !m.equals(owner) && !isRemoved.test(m))
                .toList();
        return new Segment(new RangeAssignment(range, owner, fence, remaining), false);
    }

    /** Merges adjacent assignments with an unchanged owner and no previous owners. */
    private static List<RangeAssignment> mergeUnchanged(List<Segment> segments) {
        List<RangeAssignment> merged = new ArrayList<>();
        boolean lastMergeable = false;
        for (Segment segment : segments) {
            RangeAssignment assignment = segment.assignment;
            boolean mergeable = segment.unchanged && assignment.previousOwners().isEmpty();
            if (mergeable && lastMergeable) {
                RangeAssignment last = merged.remove(merged.size() - 1);
                Generation fence = last.fence().isNewerThan(assignment.fence()) ? last.fence() : assignment.fence();
                assignment = new RangeAssignment(
                        KeyRanges.join(last.range(), assignment.range()), assignment.owner(), fence, List.of());
            }
            merged.add(assignment);
            lastMergeable = mergeable;
        }
        return merged;
    }
}
