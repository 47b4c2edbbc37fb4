package org.coriandercrank.kernel.table;

import java.util.List;
import java.util.Optional;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.ServiceName;

/**
 * All range assignments of a service at one generation.
 *
 * <p>Immutable. Ranges are sorted and do not overlap. A hash that is in no range has no owner.
 */
public record AssignmentTable(ServiceName service, Generation generation, List<RangeAssignment> assignments) {
    public AssignmentTable {
        assignments = List.copyOf(assignments);
        for (int i = 1; i < assignments.size(); i++) {
            KeyRange previous = assignments.get(i - 1).range();
            KeyRange current = assignments.get(i).range();
            if (previous.last().compareTo(current.first()) >= 0) {
                throw new IllegalArgumentException("ranges overlap or are not sorted: " + previous + ", " + current);
            }
        }
        for (RangeAssignment assignment : assignments) {
            if (assignment.fence().isNewerThan(generation)) {
                throw new IllegalArgumentException(
                        "fence " + assignment.fence() + " is newer than generation " + generation);
            }
        }
    }

    public static AssignmentTable empty(ServiceName service) {
        return new AssignmentTable(service, Generation.NONE, List.of());
    }

    /** The assignment whose range contains the hash. Takes logarithmic time. */
    public Optional<RangeAssignment> find(KeyHash hash) {
        int low = 0;
        int high = assignments.size() - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            RangeAssignment candidate = assignments.get(middle);
            if (candidate.range().contains(hash)) {
                return Optional.of(candidate);
            }
            if (candidate.range().first().compareTo(hash) > 0) {
                high = middle - 1;
            } else {
                low = middle + 1;
            }
        }
        return Optional.empty();
    }

    public List<RangeAssignment> ownedBy(MemberId member) {
        return assignments.stream().filter(a -> a.owner().equals(member)).toList();
    }

    /** Whether the member is the owner or a previous owner in any assignment. */
    public boolean references(MemberId member) {
        return assignments.stream()
                .anyMatch(a -> a.owner().equals(member) || a.previousOwners().contains(member));
    }
}
