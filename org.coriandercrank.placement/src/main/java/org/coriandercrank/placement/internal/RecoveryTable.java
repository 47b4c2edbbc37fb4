package org.coriandercrank.placement.internal;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.message.HeldRangesReport;
import org.coriandercrank.kernel.placement.PlacedRange;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;
import org.coriandercrank.kernel.table.RangeAssignment;

/**
 * Builds the first table of an era, in which the store may have lost tables. Stateless and thread safe.
 *
 * <p>What members report as held keeps its owner and fencing token. All other hashes get a new token, and nobody serves
 * them before every member that did not report completely has released them or is sealed. So the table is safe whatever
 * the tables of earlier eras were.
 */
public final class RecoveryTable {
    /**
     * What the table is built from. Immutable.
     *
     * @param newest the newest table known; only a preference for owners
     * @param reports complete reports of the present era by member
     * @param unreported members of the service that are not sealed and have no complete report; they may hold any hash
     * @param restarted for the owner of a range that may no longer own it, the member that takes its place
     */
    public record Input(
            AssignmentTable newest,
            Era era,
            Map<MemberId, HeldRangesReport> reports,
            Set<MemberId> unreported,
            Function<MemberId, Optional<MemberId>> restarted) {
        public Input {
            reports = ImmutableMap.copyOf(reports);
            unreported = ImmutableSet.copyOf(unreported);
        }
    }

    private static final String REASON = "store-returned";

    private RecoveryTable() {}

    /** The reported ranges without overlaps: of two reports of a hash, that with the newer token counts. */
    static List<RangeAssignment> heldAssignments(Input input) {
        List<RangeAssignment> byFence = new ArrayList<>();
        input.reports()
                .forEach((member, report) -> report.ranges()
                        .forEach(held ->
                                byFence.add(new RangeAssignment(held.range(), member, held.fence(), List.of()))));
        byFence.sort(Comparator.comparing(RangeAssignment::fence).reversed());
        List<RangeAssignment> result = new ArrayList<>();
        for (RangeAssignment held : byFence) {
            List<KeyRange> covered = result.stream()
                    .map(RangeAssignment::range)
                    .filter(held.range()::overlaps)
                    .toList();
            KeyRanges.subtract(held.range(), covered)
                    .forEach(part -> result.add(new RangeAssignment(
                            part, held.owner(), held.fence(), otherHolders(input, held.owner(), part))));
        }
        result.sort(Comparator.comparing(RangeAssignment::range));
        return result;
    }

    /** Other members that report part of a range as held, which none should. */
    private static List<MemberId> otherHolders(Input input, MemberId owner, KeyRange range) {
        return input.reports().entrySet().stream()
                .filter(report -> !report.getKey().equals(owner))
                .filter(report -> report.getValue().ranges().stream()
                        .anyMatch(held -> held.range().overlaps(range)))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /**
     * Builds the table.
     *
     * @param placed owners for all hashes, for those that neither a report nor the newest table gives an owner
     */
    static TablePlanner.Decision build(Input input, List<PlacedRange> placed) {
        List<RangeAssignment> held = heldAssignments(input);
        Generation fence = newestGeneration(input, held).next(input.era());
        List<RangeAssignment> assignments = new ArrayList<>(held);
        List<TableBuilder.Change> changes = new ArrayList<>();
        for (KeyRange gap : gaps(held)) {
            List<KeyRange> covered = new ArrayList<>();
            for (RangeAssignment known : overlapping(input.newest(), gap)) {
                ownerOf(input, known).ifPresent(owner -> {
                    KeyRange part = KeyRanges.intersect(known.range(), gap).orElseThrow();
                    covered.add(part);
                    add(input, part, Optional.of(known.owner()), owner, fence, assignments, changes);
                });
            }
            for (KeyRange part : KeyRanges.subtract(gap, covered)) {
                for (PlacedRange placedRange : placed) {
                    KeyRanges.intersect(placedRange.range(), part)
                            .ifPresent(range -> add(
                                    input, range, Optional.empty(), placedRange.owner(), fence, assignments, changes));
                }
            }
        }
        assignments.sort(Comparator.comparing(RangeAssignment::range));
        AssignmentTable table = new AssignmentTable(input.newest().service(), fence, merge(assignments));
        return new TablePlanner.Decision(TablePlanner.Kind.RECOVERY, table, changes);
    }

    private static Generation newestGeneration(Input input, List<RangeAssignment> held) {
        return held.stream()
                .map(RangeAssignment::fence)
                .max(Generation::compareTo)
                .filter(fence -> fence.isNewerThan(input.newest().generation()))
                .orElse(input.newest().generation());
    }

    private static List<KeyRange> gaps(List<RangeAssignment> held) {
        return KeyRanges.subtract(
                KeyRange.ALL, held.stream().map(RangeAssignment::range).toList());
    }

    private static List<RangeAssignment> overlapping(AssignmentTable table, KeyRange range) {
        return table.assignments().stream()
                .filter(assignment -> assignment.range().overlaps(range))
                .toList();
    }

    /** The owner that a range keeps; empty if neither its owner nor the restarted member of that is known to exist. */
    private static Optional<MemberId> ownerOf(Input input, RangeAssignment known) {
        boolean exists =
                input.reports().containsKey(known.owner()) || input.unreported().contains(known.owner());
        return exists ? Optional.of(known.owner()) : input.restarted().apply(known.owner());
    }

    private static void add(
            Input input,
            KeyRange range,
            Optional<MemberId> from,
            MemberId owner,
            Generation fence,
            List<RangeAssignment> assignments,
            List<TableBuilder.Change> changes) {
        Set<MemberId> previous = new HashSet<>(input.unreported());
        previous.remove(owner);
        assignments.add(new RangeAssignment(
                range, owner, fence, previous.stream().sorted().toList()));
        changes.add(new TableBuilder.Change(range, from, owner, fence, REASON));
    }

    /** Merges adjacent assignments that differ in nothing but their range. */
    private static List<RangeAssignment> merge(List<RangeAssignment> sorted) {
        List<RangeAssignment> merged = new ArrayList<>();
        for (RangeAssignment assignment : sorted) {
            RangeAssignment last = merged.isEmpty() ? null : merged.get(merged.size() - 1);
            if (last != null && isMergeable(last, assignment)) {
                merged.set(
                        merged.size() - 1,
                        new RangeAssignment(
                                KeyRanges.join(last.range(), assignment.range()),
                                last.owner(),
                                last.fence(),
                                last.previousOwners()));
            } else {
                merged.add(assignment);
            }
        }
        return merged;
    }

    private static boolean isMergeable(RangeAssignment last, RangeAssignment next) {
        return !last.range().last().equals(KeyHash.MAX)
                && KeyRanges.next(last.range().last()).equals(next.range().first())
                && last.owner().equals(next.owner())
                && last.fence().equals(next.fence())
                && last.previousOwners().equals(next.previousOwners());
    }

    /** Returns the reports that are complete and of the given era. */
    static Map<MemberId, HeldRangesReport> completeOf(Map<MemberId, HeldRangesReport> reports, Era era) {
        Map<MemberId, HeldRangesReport> complete = new HashMap<>(reports);
        complete.values().removeIf(report -> !report.complete() || !report.era().equals(era));
        return complete;
    }
}
