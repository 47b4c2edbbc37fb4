package org.coriandercrank.kernel.placement;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.Member;

/**
 * Input of a placement policy. Immutable.
 *
 * @param candidates active members of the service that may own ranges, sorted by id
 * @param table the current assignment table
 * @param loads latest load reports by member; a member without a report is absent
 * @param nowMs monotonic time in milliseconds
 * @param lastChangeMs monotonic time of the last change of the table that was made because of load
 * @param imbalancedSinceMs monotonic time since which the imbalance has continuously exceeded the target; equal to
 *     {@code nowMs} if it does not exceed the target
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
        loads = ImmutableMap.copyOf(loads);
    }
}
