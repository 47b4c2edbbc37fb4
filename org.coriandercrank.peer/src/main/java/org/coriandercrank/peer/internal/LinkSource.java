package org.coriandercrank.peer.internal;

import org.coriandercrank.kernel.id.MemberId;

/**
 * The local end of an outgoing connection. Immutable.
 *
 * @param member member id that the peer takes as the sender of every message on the connection
 * @param ip the IP address on which this daemon listens; outgoing connections come from it too, so that the network can
 *     tell daemons apart by their addresses
 */
record LinkSource(MemberId member, String ip) {}
