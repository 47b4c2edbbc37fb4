package org.coriandercrank.daemon.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.coriandercrank.daemon.ServerIncarnation;
import org.coriandercrank.daemon.ServerWatch;
import org.coriandercrank.daemon.ServerWatch.Action;
import org.junit.jupiter.api.Test;

/** Guards which member a daemon is while its backend server crashes, returns, leaves or falls silent. */
class ServerWatchTest {
    private static final long MS = 1_000_000;
    private static final ServerIncarnation FIRST = new ServerIncarnation("i-1", 1_000);
    private static final ServerIncarnation SAME_ID_LATER = new ServerIncarnation("i-1", 9_000);
    private static final ServerIncarnation OTHER = new ServerIncarnation("i-2", 9_000);

    private final ServerWatch watch = new ServerWatch(new ServerWatch.Times(5_000, 8_000, 2_000), 0);

    @Test
    void repeatedHeartbeatsAttachOnce() {
        assertThat(watch.heard(FIRST, false, 10 * MS)).containsExactly(new Action.Attach(FIRST, 1, 0));
        assertThat(watch.heard(FIRST, false, 900 * MS)).isEmpty();
        assertThat(watch.tick(1_000 * MS)).isEmpty();
    }

    /** A server that starts again under its id holds nothing; its member must not keep the fences of before. */
    @Test
    void serverThatStartsAgainUnderItsIdGetsAnotherMember() {
        watch.heard(FIRST, false, 0);
        assertThat(watch.heard(SAME_ID_LATER, false, 900 * MS))
                .containsExactly(new Action.Detach("server-replaced", true), new Action.Attach(SAME_ID_LATER, 1, 0));
    }

    /** A heartbeat held up by a partition arrives after its sender was replaced. */
    @Test
    void lateHeartbeatOfAnEarlierIncarnationChangesNothing() {
        watch.heard(OTHER, false, 0);
        assertThat(watch.heard(FIRST, false, 900 * MS)).isEmpty();
        assertThat(watch.current()).contains(OTHER);
    }

    /** The keys of a silent server must move: its grants cannot be valid any more. */
    @Test
    void silentServerIsDroppedAfterItsGrantsHaveLapsed() {
        watch.heard(FIRST, false, 0);
        assertThat(watch.tick(4_999 * MS)).isEmpty();
        assertThat(watch.tick(5_000 * MS)).containsExactly(new Action.Detach("server-silent", false));
        assertThat(watch.heard(FIRST, false, 6_000 * MS)).containsExactly(new Action.Attach(FIRST, 2, 0));
    }

    @Test
    void leavingServerIsDrainedWithinTheDrainTime() {
        watch.heard(FIRST, false, 0);
        assertThat(watch.heard(FIRST, true, 100 * MS)).containsExactly(new Action.Leave(FIRST));
        assertThat(watch.heard(FIRST, true, 900 * MS)).isEmpty();
        assertThat(watch.tick(2_099 * MS)).isEmpty();
        assertThat(watch.tick(2_100 * MS)).containsExactly(new Action.Drain(FIRST));
        assertThat(watch.tick(2_200 * MS)).isEmpty();
    }

    @Test
    void departureWithoutNoticeIsALeaving() {
        watch.heard(FIRST, false, 0);
        assertThat(watch.departed(FIRST, MS)).containsExactly(new Action.Leave(FIRST));
        assertThat(watch.departed(OTHER, MS)).isEmpty();
    }

    /**
     * A server that stays after all must get requests again, under a member that may own ranges. It may hold what it got
     * before, so the next member must not seal the former one earlier.
     */
    @Test
    void serverThatTakesItsLeavingBackGetsAnotherMember() {
        watch.heard(FIRST, true, 0);
        assertThat(watch.heard(FIRST, false, 900 * MS))
                .containsExactly(new Action.Detach("server-returned", true), new Action.Attach(FIRST, 2, 5_000));
    }

    @Test
    void daemonWithoutServerJoinsAloneOnce() {
        assertThat(watch.tick(7_999 * MS)).isEmpty();
        assertThat(watch.tick(8_000 * MS)).containsExactly(new Action.JoinAlone());
        assertThat(watch.tick(9_000 * MS)).isEmpty();
        assertThat(watch.heard(FIRST, false, 9_100 * MS))
                .containsExactly(new Action.Detach("server-arrived", true), new Action.Attach(FIRST, 1, 0));
    }

    @Test
    void sealedMemberOfALivingServerIsReplaced() {
        watch.heard(FIRST, false, 0);
        assertThat(watch.sealed(MS))
                .containsExactly(new Action.Detach("sealed-by-others", true), new Action.Attach(FIRST, 2, 0));
    }

    /** A server on its way out must not get ranges again when its member is sealed early. */
    @Test
    void sealedMemberOfALeavingServerIsNotReplaced() {
        watch.heard(FIRST, true, 0);
        List<Action> actions = watch.sealed(MS);
        assertThat(actions).containsExactly(new Action.Detach("sealed-by-others", false));
    }
}
