package org.coriandercrank.experiment.internal;

import java.util.List;

/**
 * Extent of changes of ownership. Immutable.
 *
 * @param moves number of intervals that went from one owner to another
 * @param movedShare their share of the hash space; above 1 if the space moved more than once
 */
record Churn(long moves, double movedShare) {
    static Churn of(List<OwnerChange> changes) {
        return new Churn(
                changes.size(),
                changes.stream().mapToDouble(change -> change.range().share()).sum());
    }
}
