package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.MemberId;

/** The planner requests the load of the ranges that a member owns; the answer is a {@link LoadReport}. Immutable. */
public record LoadQuery(MemberId planner) implements Message {}
