package org.coriandercrank.control;

import org.coriandercrank.kernel.id.MemberId;

/**
 * Parameters with which a daemon joins the cluster. Immutable.
 *
 * @param id member id of the new incarnation
 * @param mayResume whether the daemon may resume the record that an earlier process of this host wrote under the same
 *     id; allowed only if no process of another host uses the id and at most one process at a time uses the peer
 *     address of this host
 */
public record JoinParameters(MemberId id, boolean mayResume) {}
