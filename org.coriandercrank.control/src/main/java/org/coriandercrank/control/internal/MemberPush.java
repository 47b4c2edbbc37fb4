package org.coriandercrank.control.internal;

import java.util.stream.Stream;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.message.FetchObject;
import org.coriandercrank.kernel.message.ObjectData;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/** Sends objects to members that do not ask for them. Control thread only. */
final class MemberPush {
    /** Bounds the bytes that a push to the whole cluster costs the daemon that sends it. */
    private static final int MAX_RECEIVERS = 128;

    private MemberPush() {}

    /** Sends objects to the other members that are not sealed; in a larger cluster only to some of them. */
    static void send(ControlContext context, ClusterView view, ObjectData push) {
        receivers(view).limit(MAX_RECEIVERS).forEach(member -> send(context, member, push));
    }

    /**
     * Sends changes that the position has passed to the other members that are not sealed. A configuration is large, and
     * each region has a relay that reads it again, so it is sent to the region of this daemon only.
     */
    static void sendMissed(ControlContext context, ClusterView view, ObjectData push) {
        boolean regionOnly = push.kind() == FetchObject.Kind.CONFIGURATION;
        receivers(view)
                .filter(member ->
                        !regionOnly || member.region().equals(context.identity().region()))
                .forEach(member -> send(context, member, push));
    }

    private static Stream<Member> receivers(ClusterView view) {
        MemberId self = view.current().self();
        return view.current().members().values().stream()
                .map(VersionedMember::member)
                .filter(member ->
                        member.state() != MemberState.SEALED && !member.id().equals(self));
    }

    private static void send(ControlContext context, Member member, ObjectData push) {
        context.dependencies().peerClient().send(PeerTarget.of(member), push);
    }
}
