package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;

import org.coriandercrank.gate.test.FakeBackend.Call;
import org.coriandercrank.kernel.backend.ProbeResult;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.table.KeyRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards the distinction between a server that crashed while requests ran at it and all else that loses answers. */
class ServerCrashTest {
    private static final int SLOTS = 4;
    private static final long DETECTION_MS = 3_000;

    private final GateFixture gate = new GateFixture().startServing(SLOTS);

    private double reportedCrashes() {
        return gate.meters.get("crank.gate.server.crashes").counter().count();
    }

    private Call sendCall(String key) {
        gate.submit(gate.newPost(key));
        return gate.backend.calls.get(gate.backend.calls.size() - 1);
    }

    private void loseAllCalls() {
        gate.backend.openCalls().forEach(call -> call.fail(ResultCode.OUTCOME_UNKNOWN));
        gate.timers.runQueuedTasks();
    }

    @Test
    void crashIsReportedOnce() {
        sendCall("a");
        sendCall("b");
        gate.backend.probeResult = ProbeResult.REFUSED;
        loseAllCalls();
        gate.timers.advanceMs(DETECTION_MS);
        assertThat(reportedCrashes()).isEqualTo(1);
    }

    /** Lost answers, reset connections and frozen servers leave a server running. */
    @ParameterizedTest
    @EnumSource(
            value = ProbeResult.class,
            names = {"ANSWERED", "SILENT"})
    void serverThatRunsOrIsFrozenHasNotCrashed(ProbeResult probeResult) {
        sendCall("a");
        gate.backend.probeResult = probeResult;
        loseAllCalls();
        gate.timers.advanceMs(DETECTION_MS);
        gate.backend.probeResult = ProbeResult.REFUSED;
        gate.timers.advanceMs(DETECTION_MS);
        assertThat(reportedCrashes()).isZero();
    }

    /** A probe costs a connection, and a busy server shows by its answers that it runs. */
    @Test
    void answerToALaterCallMakesAProbeNeedless() {
        sendCall("a");
        loseAllCalls();
        gate.timers.advanceMs(1);
        sendCall("b").succeed();
        gate.timers.advanceMs(DETECTION_MS);
        assertThat(gate.backend.probes).isZero();
    }

    /** The answer to an earlier call may have been on its way when the server crashed. */
    @Test
    void answerToAnEarlierCallDoesNotHideTheCrash() {
        Call lost = sendCall("a");
        Call answered = sendCall("b");
        gate.backend.probeResult = ProbeResult.REFUSED;
        lost.fail(ResultCode.OUTCOME_UNKNOWN);
        answered.succeed();
        gate.timers.advanceMs(DETECTION_MS);
        assertThat(reportedCrashes()).isEqualTo(1);
    }

    @Test
    void plannedEndIsNotReported() {
        sendCall("a");
        gate.core.onServerLeaving();
        gate.backend.probeResult = ProbeResult.REFUSED;
        loseAllCalls();
        gate.timers.advanceMs(DETECTION_MS);
        assertThat(reportedCrashes()).isZero();
    }

    /** A caller that leaves, or a call that outlasts its deadline, ends a call without an answer. */
    @Test
    void cancelledAndOverdueCallsAreNotCounted() {
        Call cancelled = sendCall("a");
        Call overdue = sendCall("b");
        gate.backend.probeResult = ProbeResult.REFUSED;
        gate.core.cancel(cancelled.backendCall.request().id());
        cancelled.fail(ResultCode.OUTCOME_UNKNOWN);
        gate.timers.advanceMs(1_100);
        overdue.fail(ResultCode.OUTCOME_UNKNOWN);
        gate.timers.advanceMs(DETECTION_MS);
        assertThat(reportedCrashes()).isZero();
    }

    /** A daemon that was suspended during the crash finds a new server, which answers its probe, in place of the old one. */
    @ParameterizedTest
    @CsvSource({"0, 1", "1000, 1", "3000, 0"})
    void crashIsReportedIfANewServerAnswersTheProbe(int untilReplacementMs, double expectedCrashes) {
        sendCall("a");
        gate.backend.probeResult = ProbeResult.ANSWERED;
        loseAllCalls();
        gate.timers.advanceMs(untilReplacementMs);
        replaceServer();
        assertThat(reportedCrashes()).isEqualTo(expectedCrashes);
    }

    @Test
    void lostAnswerOfAServerThatAnswersLaterCallsIsNoCrash() {
        sendCall("a");
        gate.backend.probeResult = ProbeResult.ANSWERED;
        loseAllCalls();
        gate.timers.advanceMs(200);
        sendCall("b").succeed();
        gate.timers.runQueuedTasks();
        replaceServer();
        assertThat(reportedCrashes()).isZero();
    }

    /** The heartbeat of the new server may be read before the end of the connections to the old one. */
    @Test
    void crashIsReportedIfTheServerWasReplacedBeforeItsCallsWereLost() {
        sendCall("a");
        replaceServer();
        loseAllCalls();
        gate.timers.advanceMs(DETECTION_MS);
        assertThat(reportedCrashes()).isEqualTo(1);
    }

    @Test
    void replacementOfAServerThatIsIdleOrHasAnnouncedItsEndIsNoCrash() {
        replaceServer();
        gate.attach(SLOTS, GateFixture.ALL_CAPABILITIES);
        gate.acquire(KeyRange.ALL, 2, TransferredRecords.NEVER_OWNED);
        sendCall("a");
        gate.core.onServerLeaving();
        replaceServer();
        assertThat(reportedCrashes()).isZero();
    }

    /**
     * A server that had crashed and returned received requests before its first heartbeat. They were reported as running
     * at a second crash when the heartbeat came.
     */
    @Test
    void requestsAtAServerThatReturnedAreNotCountedWhenItIsAnnounced() {
        crash(sendCall("a"));
        Call atSuccessor = sendCall("b");
        replaceServer();
        atSuccessor.succeed();
        gate.timers.advanceMs(DETECTION_MS);
        assertThat(reportedCrashes()).isEqualTo(1);
    }

    /** The request that crashes servers may be the first one that a returned server gets. */
    @Test
    void crashByARequestFromBeforeTheFirstHeartbeatIsReported() {
        crash(sendCall("a"));
        Call atSuccessor = sendCall("b");
        replaceServer();
        gate.attach(SLOTS + 1, GateFixture.ALL_CAPABILITIES);
        crash(atSuccessor);
        assertThat(reportedCrashes()).isEqualTo(2);
    }

    private void crash(Call call) {
        gate.backend.probeResult = ProbeResult.REFUSED;
        call.fail(ResultCode.OUTCOME_UNKNOWN);
        gate.timers.advanceMs(100);
        gate.backend.probeResult = ProbeResult.ANSWERED;
    }

    private void replaceServer() {
        gate.core.onServerEnded();
        gate.core.detach();
        gate.timers.runQueuedTasks();
    }
}
