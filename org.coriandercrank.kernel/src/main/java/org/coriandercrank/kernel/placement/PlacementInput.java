package org.coriandercrank.kernel.placement;

import java.util.List;
import java.util.Map;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.Member;

/**
 * What a placement policy decides on. Immutable.
 *
 * @param candidates active members of the service that may get ranges, sorted by id
 * @param table the current table
 * @param loads latest load reports by member; a member without a report is absent
 * @param nowMs monotonic time
 * @param lastChangeMs monotonic time of the last load-driven change
 * @param imbalancedSinceMs monotonic time since which the imbalance has been above the target without a break; equal to
 *     {@code nowMs} if it is not above it
 */
public record PlacementInput(
        Configuration configuration,
        List<Member> candidates,
        AssignmentTable table,
        Map<MemberId, List<RangeLoad>> loads,
        long nowMs,
        long lastChangeMs,
        long imbalancedSinceMs) {
    public PlacementInput {
        candidates = List.copyOf(candidates);
        loads = Map.copyOf(loads);
    }
}
