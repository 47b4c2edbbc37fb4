package org.coriandercrank.placement.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;
import org.coriandercrank.kernel.table.RangeAssignment;

/** Checks of one step from a table to the next. Stateless. */
final class OwnershipChecks {
    private OwnershipChecks() {}

    /** Guards against a fence that goes back, holes in the table, and a takeover that moves ranges of healthy members. */
    static void checkNext(AssignmentTable old, TablePlanner.Decision decision, Set<MemberId> gone) {
        AssignmentTable next = decision.table();
        assertThat(next.generation().value()).isEqualTo(old.generation().value() + 1);
        List<KeyRange> covered =
                next.assignments().stream().map(RangeAssignment::range).toList();
        if (decision.kind() != TablePlanner.Kind.WITHDRAW) {
            assertThat(KeyRanges.subtract(KeyRange.ALL, covered)).isEmpty();
        }
        for (RangeAssignment a : next.assignments()) {
            for (RangeAssignment b : old.assignments()) {
                if (!a.range().overlaps(b.range())) {
                    continue;
                }
                boolean sameOwner = a.owner().equals(b.owner());
                assertThat(a.fence().compareTo(b.fence())).isGreaterThanOrEqualTo(sameOwner ? 0 : 1);
                if (!sameOwner && !gone.contains(b.owner())) {
                    assertThat(a.previousOwners()).contains(b.owner());
                    assertThat(decision.kind()).isNotEqualTo(TablePlanner.Kind.TAKEOVER);
                }
            }
        }
    }
}
