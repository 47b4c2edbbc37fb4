package org.coriandercrank.daemon;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;
import org.coriandercrank.kernel.table.RangeAssignment;

/**
 * The ranges that an assignment table assigns to a member. Immutable.
 *
 * <p>A later owner of such a range receives it from a newer table and therefore under a fencing token above the
 * generation of this one. This holds also if the table is not the newest.
 *
 * @param ranges in ascending order and without overlaps
 */
public record AssignedRanges(Generation generation, List<KeyRange> ranges) {
    private static final AssignedRanges NONE = new AssignedRanges(Generation.NONE, List.of());

    public AssignedRanges {
        ranges = List.copyOf(ranges);
    }

    public static AssignedRanges none() {
        return NONE;
    }

    /** Returns the ranges of a service that the latest known table assigns to the member of this daemon. */
    public static AssignedRanges of(RoutingSnapshot snapshot, ServiceName service) {
        AssignmentTable table =
                Optional.ofNullable(snapshot.tables().get(service)).orElseGet(() -> AssignmentTable.empty(service));
        return new AssignedRanges(
                table.generation(),
                table.ownedBy(snapshot.self()).stream()
                        .map(RangeAssignment::range)
                        .toList());
    }

    /**
     * Returns the newest fencing token that is below those of all later owners of a range, or {@link Generation#NONE}
     * if part of the range is not assigned to the member.
     */
    Generation newestFence(KeyRange range) {
        List<KeyRange> assigned = KeyRanges.overlapping(ranges, Function.identity(), range);
        return KeyRanges.subtract(range, assigned).isEmpty() ? generation : Generation.NONE;
    }
}
