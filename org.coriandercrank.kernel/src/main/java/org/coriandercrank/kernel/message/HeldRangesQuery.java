package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.MemberId;

/**
 * The planner asks what a member holds, to make the first table of an era; the answer is a {@link HeldRangesReport}.
 * Immutable.
 *
 * @param era the present era of the store, which the member learns by this query at the latest
 */
public record HeldRangesQuery(MemberId planner, Era era) implements Message {}
