package org.coriandercrank.peer.internal;

import org.coriandercrank.kernel.id.MemberId;

/**
 * The calling side of a link. Immutable.
 *
 * @param member the id that the peer takes as sender of everything on the link
 * @param ip the IP that the daemon listens on; its links come from it, so that the network can tell daemons apart
 */
record LinkSource(MemberId member, String ip) {}
