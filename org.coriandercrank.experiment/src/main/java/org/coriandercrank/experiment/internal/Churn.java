package org.coriandercrank.experiment.internal;

import java.util.List;

/**
 * Extent of ownership changes. Immutable.
 *
 * @param moves number of hash ranges that moved from one owner to another
 * @param movedShare sum of their shares of the hash space; it can exceed 1, because a range can move more than once
 */
record Churn(long moves, double movedShare) {
    static Churn of(List<OwnerChange> changes) {
        return new Churn(
                changes.size(),
                changes.stream().mapToDouble(change -> change.range().share()).sum());
    }
}
