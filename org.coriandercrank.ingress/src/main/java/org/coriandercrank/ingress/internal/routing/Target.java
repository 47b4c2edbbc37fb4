package org.coriandercrank.ingress.internal.routing;

import java.util.Optional;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.table.Member;

/**
 * The member to which an attempt is sent. Immutable.
 *
 * @param peer address of the member's daemon; empty for the gate of this daemon
 * @param region region of the member; empty for this daemon
 */
record Target(MemberId member, Optional<PeerTarget> peer, Optional<Region> region) {
    static Target local(MemberId self) {
        return new Target(self, Optional.empty(), Optional.empty());
    }

    static Target remote(Member member) {
        return new Target(member.id(), Optional.of(PeerTarget.of(member)), Optional.of(member.region()));
    }
}
