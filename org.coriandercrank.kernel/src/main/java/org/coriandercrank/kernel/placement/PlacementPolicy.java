package org.coriandercrank.kernel.placement;

import java.util.List;

/** Decides which owner each range should have. Implementations are stateless and thread safe. */
@FunctionalInterface
public interface PlacementPolicy {
    /**
     * The wanted ranges and owners, sorted, covering the whole hash space, or an empty list if there is no candidate.
     * Every owner is a candidate.
     */
    List<PlacedRange> place(PlacementInput input);
}
