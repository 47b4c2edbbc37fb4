package org.coriandercrank.daemon.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.coriandercrank.daemon.MemberLifecycle;
import org.coriandercrank.daemon.MemberLifecycle.Action;
import org.coriandercrank.daemon.ServerIncarnation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the choice of the daemon's member while its backend server crashes, restarts, leaves or becomes silent. */
class MemberLifecycleTest {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final ServerIncarnation FIRST = new ServerIncarnation("i-1", 1_000);
    private static final ServerIncarnation RESTARTED = new ServerIncarnation("i-1", 9_000);
    private static final ServerIncarnation OTHER = new ServerIncarnation("i-2", 9_000);

    private long nextSequence = 1;
    private final MemberLifecycle lifecycle = new MemberLifecycle(new MemberLifecycle.Timeouts(5_000, 8_000, 2_000), 0);

    /** Id of the process at the address of the server; if empty, the process has the id that a heartbeat states. */
    private Optional<String> idAtAddress = Optional.empty();

    /** Sends a heartbeat, answers for the process at the address, and returns all other actions. */
    private List<Action> heartbeat(ServerIncarnation server, long sequence, boolean leaving, long nowNanos) {
        return heartbeat(server, sequence, leaving, nowNanos, Optional.of(idAtAddress.orElse(server.id())));
    }

    private List<Action> heartbeat(
            ServerIncarnation server, long sequence, boolean leaving, long nowNanos, Optional<String> answer) {
        List<Action> actions = new ArrayList<>(lifecycle.onHeartbeat(server, sequence, leaving, nowNanos));
        if (actions.remove(new Action.Identify(server))) {
            actions.addAll(lifecycle.onIdentified(server, answer, nowNanos));
        }
        actions.removeIf(Action.Identified.class::isInstance);
        return actions;
    }

    /** The grants of a server that was detached as silent end at once when another process has taken its place. */
    @Test
    void detachedServerHasEndedWhenAnotherOneStarts() {
        heartbeat(FIRST, nextSequence++, false, 0);
        lifecycle.onTick(5_000 * NANOS_PER_MS);
        assertThat(heartbeat(OTHER, nextSequence++, false, 6_000 * NANOS_PER_MS))
                .containsExactly(new Action.ServerEnded(FIRST), new Action.Attach(OTHER, 1, 0));
    }

    @Test
    void repeatedHeartbeatsAttachOnce() {
        assertThat(heartbeat(FIRST, nextSequence++, false, 10 * NANOS_PER_MS))
                .containsExactly(new Action.Attach(FIRST, 1, 0));
        assertThat(heartbeat(FIRST, nextSequence++, false, 900 * NANOS_PER_MS)).isEmpty();
        assertThat(lifecycle.onTick(1_000 * NANOS_PER_MS)).isEmpty();
    }

    /** A restarted server holds no range, so its member must not keep ranges under the earlier fencing tokens. */
    @Test
    void serverRestartedUnderSameIdGetsNewMember() {
        heartbeat(FIRST, nextSequence++, false, 0);
        assertThat(heartbeat(RESTARTED, nextSequence++, false, 900 * NANOS_PER_MS))
                .containsExactly(
                        new Action.ServerRestarted(FIRST),
                        new Action.Detach("server-replaced", true),
                        new Action.Attach(RESTARTED, 1, 0));
    }

    /** A network partition can delay a heartbeat until after its sender was replaced. */
    @Test
    void lateHeartbeatOfEarlierIncarnationIsIgnored() {
        idAtAddress = Optional.of(OTHER.id());
        heartbeat(OTHER, nextSequence++, false, 0);
        assertThat(heartbeat(FIRST, nextSequence++, false, 900 * NANOS_PER_MS)).isEmpty();
        assertThat(lifecycle.currentServer()).contains(OTHER);
    }

    /** The ranges of a silent server must move to other servers once its grants have expired. */
    @Test
    void silentServerIsDetachedAfterItsGrantsExpired() {
        heartbeat(FIRST, nextSequence++, false, 0);
        assertThat(lifecycle.onTick(4_999 * NANOS_PER_MS)).isEmpty();
        assertThat(lifecycle.onTick(5_000 * NANOS_PER_MS)).containsExactly(new Action.Detach("server-silent", false));
        assertThat(heartbeat(FIRST, nextSequence++, false, 6_000 * NANOS_PER_MS))
                .containsExactly(new Action.Attach(FIRST, 2, 0));
    }

    @Test
    void leavingServerIsDrainedAfterDrainDelay() {
        heartbeat(FIRST, nextSequence++, false, 0);
        assertThat(heartbeat(FIRST, nextSequence++, true, 100 * NANOS_PER_MS)).containsExactly(new Action.Leave(FIRST));
        assertThat(heartbeat(FIRST, nextSequence++, true, 900 * NANOS_PER_MS)).isEmpty();
        assertThat(lifecycle.onTick(2_099 * NANOS_PER_MS)).isEmpty();
        assertThat(lifecycle.onTick(2_100 * NANOS_PER_MS)).containsExactly(new Action.Drain(FIRST));
        assertThat(lifecycle.onTick(2_200 * NANOS_PER_MS)).isEmpty();
    }

    @Test
    void deregistrationIsTreatedAsLeaving() {
        heartbeat(FIRST, nextSequence++, false, 0);
        assertThat(lifecycle.onDeregister("i-1", NANOS_PER_MS)).containsExactly(new Action.Leave(FIRST));
        assertThat(lifecycle.onDeregister("i-2", NANOS_PER_MS)).isEmpty();
    }

    /** The drain counted from the next heartbeat only, and requests were sent for longer than the drain time. */
    @Test
    void leavingStatedInAResponseStartsTheDrain() {
        heartbeat(FIRST, nextSequence++, false, 0);
        assertThat(lifecycle.onLeavingStated(FIRST, 100 * NANOS_PER_MS)).containsExactly(new Action.Leave(FIRST));
        assertThat(lifecycle.onLeavingStated(FIRST, 200 * NANOS_PER_MS)).isEmpty();
        assertThat(heartbeat(FIRST, nextSequence++, true, 900 * NANOS_PER_MS)).isEmpty();
        assertThat(lifecycle.onTick(2_100 * NANOS_PER_MS)).containsExactly(new Action.Drain(FIRST));
        assertThat(lifecycle.onLeavingStated(OTHER, 2_200 * NANOS_PER_MS)).isEmpty();
    }

    /** A heartbeat that was sent before the deregistration arrived after it, and the server received requests again. */
    @Test
    void heartbeatUnderWayDoesNotWithdrawADeregistration() {
        heartbeat(FIRST, nextSequence++, false, 0);
        lifecycle.onDeregister("i-1", 100 * NANOS_PER_MS);
        assertThat(heartbeat(FIRST, nextSequence++, false, 900 * NANOS_PER_MS)).isEmpty();
        assertThat(lifecycle.onTick(2_100 * NANOS_PER_MS)).containsExactly(new Action.Drain(FIRST));
    }

    /** An old heartbeat that arrived after its server had ended brought the server back until it was silent again. */
    @Test
    void outdatedHeartbeatDoesNotBringBackAServerThatEnded() {
        heartbeat(FIRST, 5, false, 0);
        heartbeat(FIRST, 7, true, 100 * NANOS_PER_MS);
        lifecycle.onTick(5_100 * NANOS_PER_MS);
        assertThat(lifecycle.currentServer()).isEmpty();
        assertThat(heartbeat(FIRST, 6, false, 5_200 * NANOS_PER_MS)).isEmpty();
        assertThat(heartbeat(FIRST, 8, false, 5_300 * NANOS_PER_MS)).isNotEmpty();
    }

    /** A heartbeat that was sent before the statement must not be taken for its withdrawal. */
    @Test
    void heartbeatUnderWayDoesNotWithdrawAStatedLeaving() {
        heartbeat(FIRST, nextSequence++, false, 0);
        lifecycle.onLeavingStated(FIRST, 100 * NANOS_PER_MS);
        assertThat(heartbeat(FIRST, nextSequence++, false, 900 * NANOS_PER_MS)).isEmpty();
        assertThat(heartbeat(FIRST, nextSequence++, false, 5_100 * NANOS_PER_MS))
                .containsExactly(new Action.Detach("server-returned", true), new Action.Attach(FIRST, 2, 5_000));
    }

    /**
     * A server that stays after it announced that it was leaving must receive requests again, under a member that can
     * own ranges. It may still hold ranges of its previous member, so the new member must not join and seal the
     * previous one before those grants have expired.
     */
    @Test
    void serverThatWithdrawsLeavingGetsNewMember() {
        heartbeat(FIRST, nextSequence++, true, 0);
        assertThat(heartbeat(FIRST, nextSequence++, false, 900 * NANOS_PER_MS))
                .containsExactly(new Action.Detach("server-returned", true), new Action.Attach(FIRST, 2, 5_000));
    }

    @Test
    void daemonWithoutServerJoinsAloneOnce() {
        assertThat(lifecycle.onTick(7_999 * NANOS_PER_MS)).isEmpty();
        assertThat(lifecycle.onTick(8_000 * NANOS_PER_MS)).containsExactly(new Action.JoinAlone());
        assertThat(lifecycle.onTick(9_000 * NANOS_PER_MS)).isEmpty();
        assertThat(heartbeat(FIRST, nextSequence++, false, 9_100 * NANOS_PER_MS))
                .containsExactly(new Action.Detach("server-arrived", true), new Action.Attach(FIRST, 1, 0));
    }

    @Test
    void sealedMemberOfActiveServerIsReplaced() {
        heartbeat(FIRST, nextSequence++, false, 0);
        assertThat(lifecycle.onMemberSealed(NANOS_PER_MS))
                .containsExactly(
                        new Action.Detach("sealed-by-others", true),
                        new Action.Attach(FIRST, 2, 0),
                        new Action.Identified(FIRST));
    }

    /** A leaving server must not receive ranges again when its member is sealed. */
    @Test
    void sealedMemberOfLeavingServerIsNotReplaced() {
        heartbeat(FIRST, nextSequence++, true, 0);
        List<Action> actions = lifecycle.onMemberSealed(NANOS_PER_MS);
        assertThat(actions).containsExactly(new Action.Detach("sealed-by-others", false));
    }

    /**
     * A heartbeat can arrive seconds late. Guards against one that was sent before the server announced that it was
     * leaving and seemed to revoke the announcement, so that the server received requests after the drain time.
     */
    @Test
    void outdatedHeartbeatDoesNotCancelLeaving() {
        heartbeat(FIRST, 5, false, 0);
        heartbeat(FIRST, 7, true, 100 * NANOS_PER_MS);
        assertThat(heartbeat(FIRST, 6, false, 900 * NANOS_PER_MS)).isEmpty();
        assertThat(lifecycle.onTick(2_100 * NANOS_PER_MS)).containsExactly(new Action.Drain(FIRST));
    }

    /** Each incarnation of a server numbers its heartbeats anew. */
    @Test
    void firstHeartbeatOfNewIncarnationIsAcceptedWithAnySequence() {
        heartbeat(FIRST, 500, false, 0);
        assertThat(heartbeat(OTHER, 1, false, 900 * NANOS_PER_MS))
                .containsExactly(
                        new Action.ServerEnded(FIRST),
                        new Action.Detach("server-replaced", true),
                        new Action.Attach(OTHER, 1, 0));
    }

    /** A heartbeat that named another server with a later start ended the grants of the sound one, which held them. */
    @ParameterizedTest
    @ValueSource(strings = {"i-1", ""})
    void heartbeatDoesNotProveTheEndOfTheAttachedServer(String answer) {
        heartbeat(FIRST, nextSequence++, false, 0);
        for (long i = 1; i <= 10; i++) {
            assertThat(heartbeat(FIRST, nextSequence++, false, 900 * i * NANOS_PER_MS))
                    .isEmpty();
            assertThat(heartbeat(
                            OTHER,
                            i,
                            false,
                            (900 * i + 100) * NANOS_PER_MS,
                            Optional.of(answer).filter(id -> !id.isEmpty())))
                    .isEmpty();
        }
        assertThat(lifecycle.currentServer()).contains(FIRST);
    }

    /** A server whose health check is not answered must be attached once the former one can hold nothing any more. */
    @Test
    void unidentifiedServerReplacesASilentOne() {
        heartbeat(FIRST, nextSequence++, false, 0);
        assertThat(heartbeat(OTHER, 1, false, 4_000 * NANOS_PER_MS, Optional.empty()))
                .isEmpty();
        assertThat(lifecycle.onTick(5_000 * NANOS_PER_MS)).containsExactly(new Action.Detach("server-silent", false));
        assertThat(heartbeat(OTHER, 2, false, 5_100 * NANOS_PER_MS, Optional.empty()))
                .containsExactly(new Action.Attach(OTHER, 1, 0));
    }

    /** A restarted daemon resumed the member of a server that had ended, because a heartbeat of it arrived late. */
    @Test
    void lateHeartbeatDoesNotAttachAServerThatEnded() {
        idAtAddress = Optional.of(OTHER.id());
        assertThat(heartbeat(FIRST, 40, false, 0)).isEmpty();
        assertThat(heartbeat(OTHER, 3, false, 100 * NANOS_PER_MS)).containsExactly(new Action.Attach(OTHER, 1, 0));
    }

    /** The clock of the host was ahead when the former server started. */
    @Test
    void serverWithEarlierStartIsAttachedIfItListensAtTheAddress() {
        heartbeat(OTHER, nextSequence++, false, 0);
        idAtAddress = Optional.of(FIRST.id());
        assertThat(heartbeat(FIRST, 1, false, 900 * NANOS_PER_MS))
                .containsExactly(
                        new Action.ServerEnded(OTHER),
                        new Action.Detach("server-replaced", true),
                        new Action.Attach(FIRST, 1, 0));
    }

    /** A start time in the future, under the same id, kept the sound server out until its daemon started again. */
    @Test
    void serverWithEarlierStartUnderTheSameIdReturnsAfterTheOtherWasSilent() {
        heartbeat(FIRST, 1, false, 0);
        assertThat(heartbeat(RESTARTED, 1, false, 100 * NANOS_PER_MS)).isNotEmpty();
        long attachedMs = 0;
        for (long ms = 900; attachedMs == 0 && ms < 20_000; ms += 900) {
            lifecycle.onTick(ms * NANOS_PER_MS);
            attachedMs =
                    heartbeat(FIRST, ms, false, ms * NANOS_PER_MS).contains(new Action.Attach(FIRST, 2, 0)) ? ms : 0;
        }
        assertThat(attachedMs).isBetween(5_100L, 6_900L);
    }

    /** A sequence far ahead made all later heartbeats of the same server late. */
    @Test
    void serverWithLowerSequenceReturnsAfterItsHeartbeatsHaveGoneOn() {
        heartbeat(FIRST, Long.MAX_VALUE, false, 0);
        long attachedMs = 0;
        for (long ms = 900; attachedMs == 0 && ms < 20_000; ms += 900) {
            lifecycle.onTick(ms * NANOS_PER_MS);
            attachedMs =
                    heartbeat(FIRST, ms, false, ms * NANOS_PER_MS).contains(new Action.Attach(FIRST, 2, 0)) ? ms : 0;
        }
        assertThat(attachedMs).isBetween(5_000L, 6_900L);
    }

    /** The answer of a process that ended meanwhile, or none at all, must not stop later identifications. */
    @Test
    void lostAnswerDoesNotPreventLaterIdentification() {
        assertThat(lifecycle.onHeartbeat(FIRST, 1, false, 0)).containsExactly(new Action.Identify(FIRST));
        assertThat(lifecycle.onHeartbeat(FIRST, 2, false, 900 * NANOS_PER_MS)).isEmpty();
        assertThat(lifecycle.onHeartbeat(FIRST, 3, false, 5_000 * NANOS_PER_MS))
                .containsExactly(new Action.Identify(FIRST));
        assertThat(lifecycle.onIdentified(OTHER, Optional.of("i-2"), 5_100 * NANOS_PER_MS))
                .isEmpty();
        assertThat(lifecycle.onIdentified(FIRST, Optional.of("i-1"), 5_200 * NANOS_PER_MS))
                .containsExactly(new Action.Attach(FIRST, 1, 0), new Action.Identified(FIRST));
    }

    /** A server that was attached without an answer is identified later, so that its predecessor need not be waited for. */
    @Test
    void unidentifiedServerIsIdentifiedLater() {
        heartbeat(FIRST, 1, false, 0, Optional.empty());
        assertThat(lifecycle.onHeartbeat(FIRST, 2, false, 900 * NANOS_PER_MS))
                .containsExactly(new Action.Identify(FIRST));
        assertThat(lifecycle.onIdentified(FIRST, Optional.of("i-1"), 901 * NANOS_PER_MS))
                .containsExactly(new Action.Identified(FIRST));
        assertThat(lifecycle.onHeartbeat(FIRST, 3, false, 1_800 * NANOS_PER_MS)).isEmpty();
    }
}
