package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.coriandercrank.gate.test.GateFixture.codeOf;
import static org.coriandercrank.gate.test.GateFixture.request;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.gate.test.FakeBackend.Call;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.message.OutcomeAnswer.State;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.table.KeyRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the answers to requests and outcome queries: failed calls, retries, deadlines and cancellation. */
class GateRequestTest {
    /**
     * A daemon that was killed resumed its member without records, barred a payment that its previous process had sent to
     * the server, and the sender ran it again.
     */
    @ParameterizedTest
    @CsvSource({"100, 500, UNKNOWN", "500, 100, BARRED", "500, , UNKNOWN"})
    void requestSentBeforeTheGateStartedIsNotReportedAsNotRun(int gateAgeMs, Long sentAgoMs, State expected) {
        GateFixture resumed = new GateFixture().startServing(2);
        resumed.timers.advanceMs(gateAgeMs);
        OptionalLong sentAgo = sentAgoMs == null ? OptionalLong.empty() : OptionalLong.of(sentAgoMs);
        assertThat(resumed.resolve(resumed.newPost("k"), sentAgo)).isEqualTo(expected);
    }

    private static final OptionalLong FIRST_ATTEMPT_AGE = OptionalLong.of(0);

    private final GateFixture gate = new GateFixture().startServing(2);

    /** Guards against a wrong outcome of a failed call, and an idempotency key that is blocked although nothing ran. */
    @ParameterizedTest
    @CsvSource({
        "BACKEND_UNAVAILABLE, BACKEND_UNAVAILABLE, 2, BARRED",
        "DEADLINE_EXPIRED, DEADLINE_EXPIRED, 2, BARRED",
        "FENCE_REJECTED, FENCE_REJECTED, 2, BARRED",
        "OVERLOADED, OVERLOADED, 2, BARRED",
        "OUTCOME_UNKNOWN, OUTCOME_UNKNOWN, 1, FINISHED",
        "CALL_TIMEOUT, OUTCOME_UNKNOWN, 1, FINISHED",
        "INTERNAL, OUTCOME_UNKNOWN, 1, FINISHED",
        "LEASE_LAPSED, OUTCOME_UNKNOWN, 1, FINISHED",
    })
    void failedCall(ResultCode failure, ResultCode answered, int callsAfterRetry, State resolved) {
        gate.timers.advanceMs(31_000);
        CallerRequest first = request("a", "k", "POST", 1_000, "key", FIRST_ATTEMPT_AGE);
        CompletableFuture<CallerAnswer> answer = gate.submit(first);
        gate.backend.calls.get(0).fail(failure);
        gate.timers.runQueuedTasks();
        assertThat(codeOf(answer)).isEqualTo(answered);
        assertThat(gate.resolve(first)).isIn(resolved, State.FINISHED);
        gate.submit(request("b", "k", "POST", 1_000, "key", OptionalLong.of(1)));
        assertThat(gate.backend.calls).hasSize(callsAfterRetry);
        assertThat(gate.resolve(first)).isEqualTo(resolved);
    }

    /** Guards against a second execution for a retry that arrives during or after the first execution. */
    @Test
    void retryGetsTheSameAnswer() {
        CallerRequest post = request("a", "k", "POST", 1_000, null, OptionalLong.empty());
        CompletableFuture<CallerAnswer> first = gate.submit(post);
        CompletableFuture<CallerAnswer> during = gate.submit(post);
        gate.backend.calls.get(0).succeed();
        gate.timers.runQueuedTasks();
        CompletableFuture<CallerAnswer> after = gate.submit(post);
        assertThat(List.of(first, during, after)).allMatch(a -> codeOf(a) == ResultCode.OK);
        assertThat(gate.backend.calls).hasSize(1);
    }

    /** Guards against answering a caller with the answer to another request. */
    @Test
    void reusedIdOrKeyIsRefused() {
        gate.submit(request("a", "k", "POST", 1_000, "key", FIRST_ATTEMPT_AGE));
        assertThat(codeOf(gate.submit(request("a", "other", "POST", 1_000, null, FIRST_ATTEMPT_AGE))))
                .isEqualTo(ResultCode.BAD_REQUEST_ID);
        assertThat(codeOf(gate.submit(request("b", "k", "PUT", 1_000, "key", FIRST_ATTEMPT_AGE))))
                .isEqualTo(ResultCode.IDEMPOTENCY_KEY_REUSED);
        gate.backend.calls.get(0).succeed();
        gate.timers.runQueuedTasks();
        assertThat(codeOf(gate.submit(request("c", "k", "PUT", 1_000, "key", FIRST_ATTEMPT_AGE))))
                .isEqualTo(ResultCode.IDEMPOTENCY_KEY_REUSED);
        assertThat(codeOf(gate.submit(request("d", "k", "POST", 1_000, "key", FIRST_ATTEMPT_AGE))))
                .isEqualTo(ResultCode.OK);
    }

    /** Guards against a second execution of a request whose outcome record was lost with its previous owner. */
    @ParameterizedTest
    @CsvSource({
        "0, 1000, , RECORD_LOST",
        "0, 1000, 2000, RECORD_LOST",
        "0, 1000, 900, RECORD_LOST",
        "0, 1000, 600, ",
        "0, 1000, 0, ",
        "0, 0, 0, ",
        "5000, 1000, 5500, ",
        "5000, 1000, 5900, RECORD_LOST",
        "9223372036854775807, 1000, , ",
    })
    void keyAgeIsComparedWithRecordHorizon(long completeForMs, double servedForMs, Long ageMs, ResultCode refused) {
        GateFixture fixture = new GateFixture();
        fixture.attach(2, GateFixture.ALL_CAPABILITIES);
        fixture.acquire(KeyRange.ALL, 1, new TransferredRecords(completeForMs, List.of()));
        fixture.timers.advanceMs(servedForMs);
        OptionalLong age = ageMs == null ? OptionalLong.empty() : OptionalLong.of(ageMs);
        assertThat(codeOf(fixture.submit(request("a", "k", "POST", 1_000, "key", age))))
                .isEqualTo(refused);
    }

    /** Guards against a second execution for a key whose record was evicted before the end of its retention time. */
    @Test
    void evictionAdvancesTheHorizon() {
        GateFixture fixture = new GateFixture(
                        GateOptions.DEFAULTS.withSlowStartMs(0).withRecordLimits(600_000, 2, 1_000_000))
                .startServing(2);
        fixture.backend.onCall = Call::succeed;
        fixture.submit(request("a", "k", "POST", 1_000, "key", FIRST_ATTEMPT_AGE));
        fixture.timers.advanceMs(1_000);
        fixture.submit(fixture.newPost("x"));
        fixture.submit(fixture.newPost("y"));
        assertThat(codeOf(fixture.submit(request("b", "k", "POST", 1_000, "key", OptionalLong.of(1_000)))))
                .isEqualTo(ResultCode.RECORD_LOST);
        assertThat(codeOf(fixture.submit(request("a", "k", "POST", 1_000, "key", OptionalLong.of(1_000)))))
                .isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        assertThat(codeOf(fixture.submit(request("c", "k", "POST", 1_000, "new", OptionalLong.of(200)))))
                .isEqualTo(ResultCode.OK);
    }

    /** Guards against executing a delayed copy after the caller was told that the request was not executed. */
    @Test
    void barredIdIsRefusedWhileACopyCanArrive() {
        gate.timers.advanceMs(31_000);
        CallerRequest post = gate.newPost("k");
        assertThat(gate.resolve(post)).isEqualTo(State.BARRED);
        assertThat(codeOf(gate.submit(post))).isEqualTo(ResultCode.BARRED);
        gate.timers.advanceMs(60_000);
        assertThat(codeOf(gate.submit(post))).isEqualTo(ResultCode.BARRED);
    }

    /** Guards against BARRED, which means not executed, for a request that the gate may have forgotten or not seen. */
    @Test
    void resolveIsUnknownIfHistoryIsIncomplete() {
        gate.backend.onCall = Call::succeed;
        CallerRequest get = request("g", "k", "GET", 1_000, null, OptionalLong.empty());
        gate.submit(get);
        assertThat(gate.resolve(get)).isEqualTo(State.UNKNOWN);
        gate.release(KeyRange.ALL);
        gate.timers.advanceMs(20);
        assertThat(gate.resolve(get)).isEqualTo(State.UNKNOWN);
        gate.acquire(KeyRange.ALL, 2, TransferredRecords.NONE);
        gate.timers.advanceMs(20);
        CallerRequest early = gate.newPost("k");
        assertThat(gate.resolve(early)).isEqualTo(State.UNKNOWN);
        assertThat(codeOf(gate.submit(early))).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        gate.timers.advanceMs(31_000);
        assertThat(gate.resolve(early)).isEqualTo(State.UNKNOWN);
        assertThat(gate.resolve(gate.newPost("k"))).isEqualTo(State.BARRED);
    }

    /**
     * Guards against an unknown outcome of a request that was lost on its way to a gate that then released the range,
     * and against its execution at two gates: the gate refuses late copies, and the new owner gets the same id.
     */
    @Test
    void resolveIsReleasedIfTheRequestWasLostBeforeTheRelease() {
        gate.backend.onCall = Call::succeed;
        CallerRequest executed = gate.newPost("k");
        gate.submit(executed);
        gate.release(KeyRange.ALL);
        gate.timers.advanceMs(20);
        CallerRequest lost = gate.newPost("k");
        assertThat(gate.resolve(lost)).isEqualTo(State.RELEASED);
        assertThat(gate.resolve(executed)).isEqualTo(State.FINISHED);
        assertThat(codeOf(gate.submit(lost))).isEqualTo(ResultCode.NOT_OWNER);
        gate.acquire(KeyRange.ALL, 2, TransferredRecords.NONE);
        gate.timers.advanceMs(20);
        assertThat(gate.resolve(lost)).isEqualTo(State.RELEASED);
        assertThat(codeOf(gate.submit(lost))).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        assertThat(gate.backend.calls).hasSize(1);
    }

    /** Guards against unknown outcomes after a lost connection to an owner that acquired its range recently. */
    @Test
    void resolveIsBarredIfNothingWasReleased() {
        CallerRequest unseen = gate.newPost("k");
        assertThat(gate.resolve(unseen)).isEqualTo(State.BARRED);
        assertThat(codeOf(gate.submit(unseen))).isEqualTo(ResultCode.BARRED);
    }

    /** Guards against answers after the deadline, and a slot that is reused while its call is still running. */
    @Test
    void deadlineWhileRunningKeepsTheSlot() {
        CallerRequest post = request("a", "k", "POST", 100, null, OptionalLong.empty());
        CompletableFuture<CallerAnswer> answer = gate.submit(post);
        gate.submit(gate.newPost("k2"));
        CompletableFuture<CallerAnswer> queued =
                gate.submit(request("q", "k3", "POST", 90, null, OptionalLong.empty()));
        gate.timers.advanceMs(106);
        assertThat(codeOf(answer)).isEqualTo(ResultCode.DEADLINE_EXPIRED_RUNNING);
        assertThat(codeOf(queued)).isEqualTo(ResultCode.DEADLINE_EXPIRED);
        assertThat(gate.backend.cancelledIds).containsExactly(post.id());
        gate.submit(gate.newPost("k4"));
        assertThat(gate.backend.calls).hasSize(2);
        assertThat(gate.resolve(post)).isEqualTo(State.RUNNING);
        gate.backend.calls.get(0).succeed();
        gate.timers.runQueuedTasks();
        assertThat(gate.resolve(post)).isEqualTo(State.FINISHED);
        assertThat(gate.backend.calls).hasSize(3);
    }

    /** Guards against executing a cancelled queued request, and against NOT_RUN for a request that was sent. */
    @Test
    void cancellation() {
        CallerRequest running = gate.newPost("k");
        CompletableFuture<CallerAnswer> runningAnswer = gate.submit(running);
        gate.submit(gate.newPost("k2"));
        CallerRequest queued = gate.newPost("k3");
        CompletableFuture<CallerAnswer> queuedAnswer = gate.submit(queued);
        gate.core.cancel(queued.id());
        gate.core.cancel(running.id());
        assertThat(codeOf(queuedAnswer)).isEqualTo(ResultCode.CANCELLED);
        assertThat(codeOf(runningAnswer)).isNull();
        gate.backend.calls.get(0).fail(ResultCode.OUTCOME_UNKNOWN);
        gate.timers.runQueuedTasks();
        assertThat(codeOf(runningAnswer)).isEqualTo(ResultCode.CANCELLED_RUNNING);
        assertThat(gate.backend.calls).hasSize(2);
    }

    /** Guards against waiting for a server that does not support cancellation. */
    @Test
    void cancellationWithoutCapability() {
        GateFixture fixture = new GateFixture();
        fixture.attach(2, Set.of());
        fixture.acquire(KeyRange.ALL, 1, TransferredRecords.NEVER_OWNED);
        CallerRequest post = fixture.newPost("k");
        CompletableFuture<CallerAnswer> answer = fixture.submit(post);
        fixture.core.cancel(post.id());
        assertThat(codeOf(answer)).isEqualTo(ResultCode.CANCELLED_RUNNING);
        assertThat(fixture.resolve(post)).isEqualTo(State.RUNNING);
    }
}
