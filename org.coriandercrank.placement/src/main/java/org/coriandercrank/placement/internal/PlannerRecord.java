package org.coriandercrank.placement.internal;

import org.coriandercrank.kernel.id.MemberId;

/**
 * Content of the store object {@code planner}. Immutable.
 *
 * @param holder member that holds the planner role
 * @param counter incremented with each write
 */
public record PlannerRecord(MemberId holder, long counter) {}
