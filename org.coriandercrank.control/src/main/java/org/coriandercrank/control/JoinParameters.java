package org.coriandercrank.control;

import org.coriandercrank.kernel.id.MemberId;

/**
 * The member id that a daemon joins under. Immutable.
 *
 * @param mayResume whether the record that a former process of this host left under the id is taken over; only for ids
 *     that no process of another host uses, on a host whose peer address has one process at a time
 */
public record JoinParameters(MemberId id, boolean mayResume) {}
