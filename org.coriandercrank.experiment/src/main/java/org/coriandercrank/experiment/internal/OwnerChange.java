package org.coriandercrank.experiment.internal;

import java.util.ArrayList;
import java.util.List;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.RangeAssignment;

/**
 * A range of hashes that moved from one owner to another. Immutable.
 *
 * @param from previous owner
 * @param generation generation of the table that made the change; the executions of the new owner have this fencing
 *     token or a newer one
 * @param observedNanos time at which that table was read from the store, on the monotonic clock
 */
public record OwnerChange(KeyRange range, MemberId from, Generation generation, long observedNanos) {
    /** A table and the time at which it was read from the store. Immutable. */
    public record ObservedTable(long observedNanos, AssignmentTable table) {}

    /** Returns the differences between consecutive tables. Hashes without an owner in either table do not count. */
    public static List<OwnerChange> of(List<ObservedTable> tables) {
        List<OwnerChange> changes = new ArrayList<>();
        for (int i = 1; i < tables.size(); i++) {
            ObservedTable observed = tables.get(i);
            for (RangeAssignment assignment : observed.table().assignments()) {
                for (RangeAssignment previous : tables.get(i - 1).table().assignments()) {
                    if (previous.range().overlaps(assignment.range())
                            && !previous.owner().equals(assignment.owner())) {
                        changes.add(new OwnerChange(
                                intersection(previous.range(), assignment.range()),
                                previous.owner(),
                                observed.table().generation(),
                                observed.observedNanos()));
                    }
                }
            }
        }
        return changes;
    }

    private static KeyRange intersection(KeyRange left, KeyRange right) {
        KeyHash first = left.first().compareTo(right.first()) > 0 ? left.first() : right.first();
        KeyHash last = left.last().compareTo(right.last()) < 0 ? left.last() : right.last();
        return new KeyRange(first, last);
    }
}
