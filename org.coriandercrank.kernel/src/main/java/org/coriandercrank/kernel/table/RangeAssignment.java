package org.coriandercrank.kernel.table;

import java.util.List;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;

/**
 * Assignment of a range to its owner.
 *
 * <p>Immutable. The owner serves the range only after each previous owner has released it or is sealed.
 *
 * @param fence fencing token: the generation of the table in which the assignment was made
 */
public record RangeAssignment(KeyRange range, MemberId owner, Generation fence, List<MemberId> previousOwners) {
    public RangeAssignment {
        previousOwners = List.copyOf(previousOwners);
        if (previousOwners.contains(owner)) {
            throw new IllegalArgumentException("owner " + owner + " is among its previous owners");
        }
    }
}
