package org.coriandercrank.peer.internal;

import java.util.function.Supplier;
import org.coriandercrank.kernel.id.MemberId;

/**
 * The calling side of links. Immutable.
 *
 * @param ip the IP that the daemon listens on; its links come from it, so that the network can tell daemons apart
 */
record LinkSource(Supplier<MemberId> member, String ip) {}
