package org.coriandercrank.kernel.placement;

import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.table.KeyRange;

/** A range and its wanted owner, with the reason of the decision for the log. Immutable. */
public record PlacedRange(KeyRange range, MemberId owner, String reason) {}
