package org.coriandercrank.placement.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;
import org.coriandercrank.kernel.table.RangeAssignment;

/** Assertions on the transition from one table to the next. Stateless. */
final class OwnershipChecks {
    private OwnershipChecks() {}

    /**
     * Guards against a decreasing fencing token, gaps in the table, and a takeover that moves ranges of members that
     * are not lost.
     */
    static void assertValidTransition(AssignmentTable previous, TablePlanner.Decision decision, Set<MemberId> removed) {
        AssignmentTable next = decision.table();
        assertThat(next.generation().value()).isEqualTo(previous.generation().value() + 1);
        List<KeyRange> covered =
                next.assignments().stream().map(RangeAssignment::range).toList();
        if (decision.kind() != TablePlanner.Kind.WITHDRAW) {
            assertThat(KeyRanges.subtract(KeyRange.ALL, covered)).isEmpty();
        }
        for (RangeAssignment assignment : next.assignments()) {
            for (RangeAssignment previousAssignment : previous.assignments()) {
                if (!assignment.range().overlaps(previousAssignment.range())) {
                    continue;
                }
                boolean sameOwner = assignment.owner().equals(previousAssignment.owner());
                assertThat(assignment.fence().compareTo(previousAssignment.fence()))
                        .isGreaterThanOrEqualTo(sameOwner ? 0 : 1);
                if (!sameOwner && !removed.contains(previousAssignment.owner())) {
                    assertThat(assignment.previousOwners()).contains(previousAssignment.owner());
                    assertThat(decision.kind()).isNotEqualTo(TablePlanner.Kind.TAKEOVER);
                }
            }
        }
    }
}
