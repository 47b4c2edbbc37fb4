package org.coriandercrank.control.internal;

import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.message.ObjectData;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.table.MemberState;

/** Sends objects to members that do not ask for them. Control thread only. */
final class MemberPush {
    /** Bounds the bytes that one push costs the daemon that sends it. */
    private static final int MAX_RECEIVERS = 128;

    private MemberPush() {}

    /** Sends objects to the other members that are not sealed; in a larger cluster only to some of them. */
    static void send(ControlContext context, ClusterView view, ObjectData push) {
        MemberId self = view.current().self();
        view.current().members().values().stream()
                .map(VersionedMember::member)
                .filter(other ->
                        other.state() != MemberState.SEALED && !other.id().equals(self))
                .limit(MAX_RECEIVERS)
                .forEach(other -> context.dependencies().peerClient().send(PeerTarget.of(other), push));
    }
}
