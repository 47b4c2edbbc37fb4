package org.coriandercrank.placement.internal;

import org.coriandercrank.kernel.id.MemberId;

/** Content of the store object {@code planner}. Immutable; the counter grows with each write. */
public record PlannerRecord(MemberId holder, long counter) {}
