package org.coriandercrank.daemon.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.coriandercrank.daemon.MemberLifecycle;
import org.coriandercrank.daemon.MemberLifecycle.Action;
import org.coriandercrank.daemon.ServerIncarnation;
import org.junit.jupiter.api.Test;

/** Guards the choice of the daemon's member while its backend server crashes, restarts, leaves or becomes silent. */
class MemberLifecycleTest {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final ServerIncarnation FIRST = new ServerIncarnation("i-1", 1_000);
    private static final ServerIncarnation RESTARTED = new ServerIncarnation("i-1", 9_000);
    private static final ServerIncarnation OTHER = new ServerIncarnation("i-2", 9_000);

    private long nextSequence = 1;
    private final MemberLifecycle lifecycle = new MemberLifecycle(new MemberLifecycle.Timeouts(5_000, 8_000, 2_000), 0);

    /** The grants of a server that was detached as silent end at once when another process has taken its place. */
    @Test
    void detachedServerHasEndedWhenAnotherOneStarts() {
        lifecycle.onHeartbeat(FIRST, nextSequence++, false, 0);
        lifecycle.onTick(5_000 * NANOS_PER_MS);
        assertThat(lifecycle.onHeartbeat(OTHER, nextSequence++, false, 6_000 * NANOS_PER_MS))
                .containsExactly(new Action.ServerEnded(FIRST), new Action.Attach(OTHER, 1, 0));
    }

    @Test
    void repeatedHeartbeatsAttachOnce() {
        assertThat(lifecycle.onHeartbeat(FIRST, nextSequence++, false, 10 * NANOS_PER_MS))
                .containsExactly(new Action.Attach(FIRST, 1, 0));
        assertThat(lifecycle.onHeartbeat(FIRST, nextSequence++, false, 900 * NANOS_PER_MS))
                .isEmpty();
        assertThat(lifecycle.onTick(1_000 * NANOS_PER_MS)).isEmpty();
    }

    /** A restarted server holds no range, so its member must not keep ranges under the earlier fencing tokens. */
    @Test
    void serverRestartedUnderSameIdGetsNewMember() {
        lifecycle.onHeartbeat(FIRST, nextSequence++, false, 0);
        assertThat(lifecycle.onHeartbeat(RESTARTED, nextSequence++, false, 900 * NANOS_PER_MS))
                .containsExactly(
                        new Action.ServerEnded(FIRST),
                        new Action.Detach("server-replaced", true),
                        new Action.Attach(RESTARTED, 1, 0));
    }

    /** A network partition can delay a heartbeat until after its sender was replaced. */
    @Test
    void lateHeartbeatOfEarlierIncarnationIsIgnored() {
        lifecycle.onHeartbeat(OTHER, nextSequence++, false, 0);
        assertThat(lifecycle.onHeartbeat(FIRST, nextSequence++, false, 900 * NANOS_PER_MS))
                .isEmpty();
        assertThat(lifecycle.currentServer()).contains(OTHER);
    }

    /** The ranges of a silent server must move to other servers once its grants have expired. */
    @Test
    void silentServerIsDetachedAfterItsGrantsExpired() {
        lifecycle.onHeartbeat(FIRST, nextSequence++, false, 0);
        assertThat(lifecycle.onTick(4_999 * NANOS_PER_MS)).isEmpty();
        assertThat(lifecycle.onTick(5_000 * NANOS_PER_MS)).containsExactly(new Action.Detach("server-silent", false));
        assertThat(lifecycle.onHeartbeat(FIRST, nextSequence++, false, 6_000 * NANOS_PER_MS))
                .containsExactly(new Action.Attach(FIRST, 2, 0));
    }

    @Test
    void leavingServerIsDrainedAfterDrainDelay() {
        lifecycle.onHeartbeat(FIRST, nextSequence++, false, 0);
        assertThat(lifecycle.onHeartbeat(FIRST, nextSequence++, true, 100 * NANOS_PER_MS))
                .containsExactly(new Action.Leave(FIRST));
        assertThat(lifecycle.onHeartbeat(FIRST, nextSequence++, true, 900 * NANOS_PER_MS))
                .isEmpty();
        assertThat(lifecycle.onTick(2_099 * NANOS_PER_MS)).isEmpty();
        assertThat(lifecycle.onTick(2_100 * NANOS_PER_MS)).containsExactly(new Action.Drain(FIRST));
        assertThat(lifecycle.onTick(2_200 * NANOS_PER_MS)).isEmpty();
    }

    @Test
    void deregistrationIsTreatedAsLeaving() {
        lifecycle.onHeartbeat(FIRST, nextSequence++, false, 0);
        assertThat(lifecycle.onDeregister("i-1", NANOS_PER_MS)).containsExactly(new Action.Leave(FIRST));
        assertThat(lifecycle.onDeregister("i-2", NANOS_PER_MS)).isEmpty();
    }

    /** The drain counted from the next heartbeat only, and requests were sent for longer than the drain time. */
    @Test
    void leavingStatedInAResponseStartsTheDrain() {
        lifecycle.onHeartbeat(FIRST, nextSequence++, false, 0);
        assertThat(lifecycle.onLeavingStated(FIRST, 100 * NANOS_PER_MS)).containsExactly(new Action.Leave(FIRST));
        assertThat(lifecycle.onLeavingStated(FIRST, 200 * NANOS_PER_MS)).isEmpty();
        assertThat(lifecycle.onHeartbeat(FIRST, nextSequence++, true, 900 * NANOS_PER_MS))
                .isEmpty();
        assertThat(lifecycle.onTick(2_100 * NANOS_PER_MS)).containsExactly(new Action.Drain(FIRST));
        assertThat(lifecycle.onLeavingStated(OTHER, 2_200 * NANOS_PER_MS)).isEmpty();
    }

    /** A heartbeat that was sent before the deregistration arrived after it, and the server received requests again. */
    @Test
    void heartbeatUnderWayDoesNotWithdrawADeregistration() {
        lifecycle.onHeartbeat(FIRST, nextSequence++, false, 0);
        lifecycle.onDeregister("i-1", 100 * NANOS_PER_MS);
        assertThat(lifecycle.onHeartbeat(FIRST, nextSequence++, false, 900 * NANOS_PER_MS))
                .isEmpty();
        assertThat(lifecycle.onTick(2_100 * NANOS_PER_MS)).containsExactly(new Action.Drain(FIRST));
    }

    /** An old heartbeat that arrived after its server had ended brought the server back until it was silent again. */
    @Test
    void outdatedHeartbeatDoesNotBringBackAServerThatEnded() {
        lifecycle.onHeartbeat(FIRST, 5, false, 0);
        lifecycle.onHeartbeat(FIRST, 7, true, 100 * NANOS_PER_MS);
        lifecycle.onTick(5_100 * NANOS_PER_MS);
        assertThat(lifecycle.currentServer()).isEmpty();
        assertThat(lifecycle.onHeartbeat(FIRST, 6, false, 5_200 * NANOS_PER_MS)).isEmpty();
        assertThat(lifecycle.onHeartbeat(FIRST, 8, false, 5_300 * NANOS_PER_MS)).isNotEmpty();
    }

    /** A heartbeat that was sent before the statement must not be taken for its withdrawal. */
    @Test
    void heartbeatUnderWayDoesNotWithdrawAStatedLeaving() {
        lifecycle.onHeartbeat(FIRST, nextSequence++, false, 0);
        lifecycle.onLeavingStated(FIRST, 100 * NANOS_PER_MS);
        assertThat(lifecycle.onHeartbeat(FIRST, nextSequence++, false, 900 * NANOS_PER_MS))
                .isEmpty();
        assertThat(lifecycle.onHeartbeat(FIRST, nextSequence++, false, 5_100 * NANOS_PER_MS))
                .containsExactly(new Action.Detach("server-returned", true), new Action.Attach(FIRST, 2, 5_000));
    }

    /**
     * A server that stays after it announced that it was leaving must receive requests again, under a member that can
     * own ranges. It may still hold ranges of its previous member, so the new member must not join and seal the
     * previous one before those grants have expired.
     */
    @Test
    void serverThatWithdrawsLeavingGetsNewMember() {
        lifecycle.onHeartbeat(FIRST, nextSequence++, true, 0);
        assertThat(lifecycle.onHeartbeat(FIRST, nextSequence++, false, 900 * NANOS_PER_MS))
                .containsExactly(new Action.Detach("server-returned", true), new Action.Attach(FIRST, 2, 5_000));
    }

    @Test
    void daemonWithoutServerJoinsAloneOnce() {
        assertThat(lifecycle.onTick(7_999 * NANOS_PER_MS)).isEmpty();
        assertThat(lifecycle.onTick(8_000 * NANOS_PER_MS)).containsExactly(new Action.JoinAlone());
        assertThat(lifecycle.onTick(9_000 * NANOS_PER_MS)).isEmpty();
        assertThat(lifecycle.onHeartbeat(FIRST, nextSequence++, false, 9_100 * NANOS_PER_MS))
                .containsExactly(new Action.Detach("server-arrived", true), new Action.Attach(FIRST, 1, 0));
    }

    @Test
    void sealedMemberOfActiveServerIsReplaced() {
        lifecycle.onHeartbeat(FIRST, nextSequence++, false, 0);
        assertThat(lifecycle.onMemberSealed(NANOS_PER_MS))
                .containsExactly(new Action.Detach("sealed-by-others", true), new Action.Attach(FIRST, 2, 0));
    }

    /** A leaving server must not receive ranges again when its member is sealed. */
    @Test
    void sealedMemberOfLeavingServerIsNotReplaced() {
        lifecycle.onHeartbeat(FIRST, nextSequence++, true, 0);
        List<Action> actions = lifecycle.onMemberSealed(NANOS_PER_MS);
        assertThat(actions).containsExactly(new Action.Detach("sealed-by-others", false));
    }

    /**
     * A heartbeat can arrive seconds late. Guards against one that was sent before the server announced that it was
     * leaving and seemed to revoke the announcement, so that the server received requests after the drain time.
     */
    @Test
    void outdatedHeartbeatDoesNotCancelLeaving() {
        lifecycle.onHeartbeat(FIRST, 5, false, 0);
        lifecycle.onHeartbeat(FIRST, 7, true, 100 * NANOS_PER_MS);
        assertThat(lifecycle.onHeartbeat(FIRST, 6, false, 900 * NANOS_PER_MS)).isEmpty();
        assertThat(lifecycle.onTick(2_100 * NANOS_PER_MS)).containsExactly(new Action.Drain(FIRST));
    }

    /** Each incarnation of a server numbers its heartbeats anew. */
    @Test
    void firstHeartbeatOfNewIncarnationIsAcceptedWithAnySequence() {
        lifecycle.onHeartbeat(FIRST, 500, false, 0);
        assertThat(lifecycle.onHeartbeat(OTHER, 1, false, 900 * NANOS_PER_MS))
                .containsExactly(
                        new Action.ServerEnded(FIRST),
                        new Action.Detach("server-replaced", true),
                        new Action.Attach(OTHER, 1, 0));
    }
}
