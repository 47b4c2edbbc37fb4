package org.coriandercrank.daemon.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.coriandercrank.daemon.MemberLifecycle;
import org.coriandercrank.daemon.MemberLifecycle.Action;
import org.coriandercrank.daemon.ServerIncarnation;
import org.junit.jupiter.api.Test;

/** Guards which member a daemon is while its backend server crashes, returns, leaves or falls silent. */
class MemberLifecycleTest {
    private static final long MS = 1_000_000;
    private static final ServerIncarnation FIRST = new ServerIncarnation("i-1", 1_000);
    private static final ServerIncarnation SAME_ID_LATER = new ServerIncarnation("i-1", 9_000);
    private static final ServerIncarnation OTHER = new ServerIncarnation("i-2", 9_000);

    private long next = 1;
    private final MemberLifecycle watch = new MemberLifecycle(new MemberLifecycle.Timeouts(5_000, 8_000, 2_000), 0);

    @Test
    void repeatedHeartbeatsAttachOnce() {
        assertThat(watch.onHeartbeat(FIRST, next++, false, 10 * MS)).containsExactly(new Action.Attach(FIRST, 1, 0));
        assertThat(watch.onHeartbeat(FIRST, next++, false, 900 * MS)).isEmpty();
        assertThat(watch.onTick(1_000 * MS)).isEmpty();
    }

    /** A server that starts again under its id holds nothing; its member must not keep the fences of before. */
    @Test
    void serverThatStartsAgainUnderItsIdGetsAnotherMember() {
        watch.onHeartbeat(FIRST, next++, false, 0);
        assertThat(watch.onHeartbeat(SAME_ID_LATER, next++, false, 900 * MS))
                .containsExactly(new Action.Detach("server-replaced", true), new Action.Attach(SAME_ID_LATER, 1, 0));
    }

    /** A heartbeat held up by a partition arrives after its sender was replaced. */
    @Test
    void lateHeartbeatOfAnEarlierIncarnationChangesNothing() {
        watch.onHeartbeat(OTHER, next++, false, 0);
        assertThat(watch.onHeartbeat(FIRST, next++, false, 900 * MS)).isEmpty();
        assertThat(watch.current()).contains(OTHER);
    }

    /** The keys of a silent server must move: its grants cannot be valid any more. */
    @Test
    void silentServerIsDroppedAfterItsGrantsHaveLapsed() {
        watch.onHeartbeat(FIRST, next++, false, 0);
        assertThat(watch.onTick(4_999 * MS)).isEmpty();
        assertThat(watch.onTick(5_000 * MS)).containsExactly(new Action.Detach("server-silent", false));
        assertThat(watch.onHeartbeat(FIRST, next++, false, 6_000 * MS)).containsExactly(new Action.Attach(FIRST, 2, 0));
    }

    @Test
    void leavingServerIsDrainedWithinTheDrainTime() {
        watch.onHeartbeat(FIRST, next++, false, 0);
        assertThat(watch.onHeartbeat(FIRST, next++, true, 100 * MS)).containsExactly(new Action.Leave(FIRST));
        assertThat(watch.onHeartbeat(FIRST, next++, true, 900 * MS)).isEmpty();
        assertThat(watch.onTick(2_099 * MS)).isEmpty();
        assertThat(watch.onTick(2_100 * MS)).containsExactly(new Action.Drain(FIRST));
        assertThat(watch.onTick(2_200 * MS)).isEmpty();
    }

    @Test
    void departureWithoutNoticeIsALeaving() {
        watch.onHeartbeat(FIRST, next++, false, 0);
        assertThat(watch.onDeregister("i-1", MS)).containsExactly(new Action.Leave(FIRST));
        assertThat(watch.onDeregister("i-2", MS)).isEmpty();
    }

    /**
     * A server that stays after all must get requests again, under a member that may own ranges. It may hold what it got
     * before, so the next member must not seal the former one earlier.
     */
    @Test
    void serverThatTakesItsLeavingBackGetsAnotherMember() {
        watch.onHeartbeat(FIRST, next++, true, 0);
        assertThat(watch.onHeartbeat(FIRST, next++, false, 900 * MS))
                .containsExactly(new Action.Detach("server-returned", true), new Action.Attach(FIRST, 2, 5_000));
    }

    @Test
    void daemonWithoutServerJoinsAloneOnce() {
        assertThat(watch.onTick(7_999 * MS)).isEmpty();
        assertThat(watch.onTick(8_000 * MS)).containsExactly(new Action.JoinAlone());
        assertThat(watch.onTick(9_000 * MS)).isEmpty();
        assertThat(watch.onHeartbeat(FIRST, next++, false, 9_100 * MS))
                .containsExactly(new Action.Detach("server-arrived", true), new Action.Attach(FIRST, 1, 0));
    }

    @Test
    void sealedMemberOfALivingServerIsReplaced() {
        watch.onHeartbeat(FIRST, next++, false, 0);
        assertThat(watch.onMemberSealed(MS))
                .containsExactly(new Action.Detach("sealed-by-others", true), new Action.Attach(FIRST, 2, 0));
    }

    /** A server on its way out must not get ranges again when its member is sealed early. */
    @Test
    void sealedMemberOfALeavingServerIsNotReplaced() {
        watch.onHeartbeat(FIRST, next++, true, 0);
        List<Action> actions = watch.onMemberSealed(MS);
        assertThat(actions).containsExactly(new Action.Detach("sealed-by-others", false));
    }

    /**
     * A heartbeat may arrive seconds late. One sent before the announcement of the leaving looked as if the server had
     * taken it back, and its requests went on after the drain time.
     */
    @Test
    void overtakenHeartbeatDoesNotTakeALeavingBack() {
        watch.onHeartbeat(FIRST, 5, false, 0);
        watch.onHeartbeat(FIRST, 7, true, 100 * MS);
        assertThat(watch.onHeartbeat(FIRST, 6, false, 900 * MS)).isEmpty();
        assertThat(watch.onTick(2_100 * MS)).containsExactly(new Action.Drain(FIRST));
    }

    /** The counts of a server start anew with it. */
    @Test
    void firstHeartbeatOfAnotherIncarnationCountsWhateverItsNumber() {
        watch.onHeartbeat(FIRST, 500, false, 0);
        assertThat(watch.onHeartbeat(OTHER, 1, false, 900 * MS))
                .containsExactly(new Action.Detach("server-replaced", true), new Action.Attach(OTHER, 1, 0));
    }
}
