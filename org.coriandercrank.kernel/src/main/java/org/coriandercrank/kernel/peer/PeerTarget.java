package org.coriandercrank.kernel.peer;

import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.table.Member;

/** A member and the address at which it accepts connections from other daemons. Immutable. */
public record PeerTarget(MemberId member, HostAddress address) {
    public static PeerTarget of(Member member) {
        return new PeerTarget(member.id(), member.peerAddress());
    }
}
