package org.coriandercrank.kernel.placement;

import java.util.List;

/** Decides which member should own each range. Implementations are stateless and thread safe. */
@FunctionalInterface
public interface PlacementPolicy {
    /**
     * Returns ranges and their owners, sorted and covering the whole hash space, or an empty list if there is no
     * candidate. Every owner is a candidate.
     */
    List<PlacedRange> place(PlacementInput input);
}
