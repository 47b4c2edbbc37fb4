package org.coriandercrank.kernel.placement;

import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * A range and the owner that it should have. Immutable.
 *
 * @param reason why the policy chose the owner, for the log
 */
public record PlacedRange(KeyRange range, MemberId owner, String reason) {}
