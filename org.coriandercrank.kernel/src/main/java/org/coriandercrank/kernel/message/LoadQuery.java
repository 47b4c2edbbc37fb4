package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.MemberId;

/** The planner asks a member for the load of its ranges; the answer is a {@link LoadReport}. Immutable. */
public record LoadQuery(MemberId planner) implements Message {}
