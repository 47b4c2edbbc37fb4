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

class GateRequestTest {
    private static final OptionalLong FIRST = OptionalLong.of(0);

    private final GateFixture gate = new GateFixture().serving(2);

    /** Guards against a wrong outcome for a failed call, and against a key that is blocked although nothing ran. */
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
    void failedCall(ResultCode failure, ResultCode answered, int callsAfterRepeat, State resolved) {
        gate.timers.advanceMs(31_000);
        CallerRequest first = request("a", "k", "POST", 1_000, "key", FIRST);
        CompletableFuture<CallerAnswer> answer = gate.submit(first);
        gate.backend.calls.get(0).fail(failure);
        gate.timers.settle();
        assertThat(codeOf(answer)).isEqualTo(answered);
        assertThat(gate.resolve(first)).isIn(resolved, State.FINISHED);
        gate.submit(request("b", "k", "POST", 1_000, "key", OptionalLong.of(1)));
        assertThat(gate.backend.calls).hasSize(callsAfterRepeat);
        assertThat(gate.resolve(first)).isEqualTo(resolved);
    }

    /** Guards against a second execution for a repeat that comes during or after the first. */
    @Test
    void repeatGetsTheSameAnswer() {
        CallerRequest post = request("a", "k", "POST", 1_000, null, OptionalLong.empty());
        CompletableFuture<CallerAnswer> first = gate.submit(post);
        CompletableFuture<CallerAnswer> during = gate.submit(post);
        gate.backend.calls.get(0).succeed();
        gate.timers.settle();
        CompletableFuture<CallerAnswer> after = gate.submit(post);
        assertThat(List.of(first, during, after)).allMatch(a -> codeOf(a) == ResultCode.OK);
        assertThat(gate.backend.calls).hasSize(1);
    }

    /** Guards against handing one caller the answer to another request. */
    @Test
    void reusedIdOrKeyIsRefused() {
        gate.submit(request("a", "k", "POST", 1_000, "key", FIRST));
        assertThat(codeOf(gate.submit(request("a", "other", "POST", 1_000, null, FIRST))))
                .isEqualTo(ResultCode.BAD_REQUEST_ID);
        assertThat(codeOf(gate.submit(request("b", "k", "PUT", 1_000, "key", FIRST))))
                .isEqualTo(ResultCode.IDEMPOTENCY_KEY_REUSED);
        gate.backend.calls.get(0).succeed();
        gate.timers.settle();
        assertThat(codeOf(gate.submit(request("c", "k", "PUT", 1_000, "key", FIRST))))
                .isEqualTo(ResultCode.IDEMPOTENCY_KEY_REUSED);
        assertThat(codeOf(gate.submit(request("d", "k", "POST", 1_000, "key", FIRST))))
                .isEqualTo(ResultCode.OK);
    }

    /** Guards against a second run of an operation whose record was lost with its former owner. */
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
    void ageOfKeyAgainstRecords(long completeForMs, double servedForMs, Long ageMs, ResultCode refused) {
        GateFixture taker = new GateFixture();
        taker.attach(2, GateFixture.ALL);
        taker.acquire(KeyRange.ALL, 1, new TransferredRecords(completeForMs, List.of()));
        taker.timers.advanceMs(servedForMs);
        OptionalLong age = ageMs == null ? OptionalLong.empty() : OptionalLong.of(ageMs);
        assertThat(codeOf(taker.submit(request("a", "k", "POST", 1_000, "key", age))))
                .isEqualTo(refused);
    }

    /** Guards against a key that may run again because its record was evicted before the retention. */
    @Test
    void evictionMovesTheHorizon() {
        GateFixture small = new GateFixture(
                        GateOptions.DEFAULTS.withSlowStartMs(0).withRecordLimits(600_000, 2, 1_000_000))
                .serving(2);
        small.backend.onCall = Call::succeed;
        small.submit(request("a", "k", "POST", 1_000, "key", FIRST));
        small.timers.advanceMs(1_000);
        small.submit(small.post("x"));
        small.submit(small.post("y"));
        assertThat(codeOf(small.submit(request("b", "k", "POST", 1_000, "key", OptionalLong.of(1_000)))))
                .isEqualTo(ResultCode.RECORD_LOST);
        assertThat(codeOf(small.submit(request("a", "k", "POST", 1_000, "key", OptionalLong.of(1_000)))))
                .isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        assertThat(codeOf(small.submit(request("c", "k", "POST", 1_000, "new", OptionalLong.of(200)))))
                .isEqualTo(ResultCode.OK);
    }

    /** Guards against a late copy that runs after its caller was told that the request was not run. */
    @Test
    void barredIdIsRefusedWhileACopyCanArrive() {
        gate.timers.advanceMs(31_000);
        CallerRequest post = gate.post("k");
        assertThat(gate.resolve(post)).isEqualTo(State.BARRED);
        assertThat(codeOf(gate.submit(post))).isEqualTo(ResultCode.BARRED);
        gate.timers.advanceMs(60_000);
        assertThat(codeOf(gate.submit(post))).isEqualTo(ResultCode.BARRED);
    }

    /** Guards against BARRED, which means not run, for a request that the gate may have forgotten or never seen. */
    @Test
    void resolveIsUnknownWhereMemoryDoesNotReachBack() {
        gate.backend.onCall = Call::succeed;
        CallerRequest get = request("g", "k", "GET", 1_000, null, OptionalLong.empty());
        gate.submit(get);
        assertThat(gate.resolve(get)).isEqualTo(State.UNKNOWN);
        gate.release(KeyRange.ALL);
        gate.timers.advanceMs(20);
        assertThat(gate.resolve(gate.post("k"))).isEqualTo(State.UNKNOWN);
        gate.acquire(KeyRange.ALL, 2, TransferredRecords.NONE);
        gate.timers.advanceMs(20);
        CallerRequest early = gate.post("k");
        assertThat(gate.resolve(early)).isEqualTo(State.UNKNOWN);
        assertThat(codeOf(gate.submit(early))).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        gate.timers.advanceMs(31_000);
        assertThat(gate.resolve(early)).isEqualTo(State.UNKNOWN);
        assertThat(gate.resolve(gate.post("k"))).isEqualTo(State.BARRED);
    }

    /** Guards against unknown outcomes after a lost link to an owner that took its range a short time ago. */
    @Test
    void resolveIsBarredFromTheStartWhereNothingWasReleased() {
        CallerRequest unseen = gate.post("k");
        assertThat(gate.resolve(unseen)).isEqualTo(State.BARRED);
        assertThat(codeOf(gate.submit(unseen))).isEqualTo(ResultCode.BARRED);
    }

    /** Guards against late answers, and against a slot that is reused while the server is still at work. */
    @Test
    void deadlineWhileRunningKeepsTheSlot() {
        CallerRequest post = request("a", "k", "POST", 100, null, OptionalLong.empty());
        CompletableFuture<CallerAnswer> answer = gate.submit(post);
        gate.submit(gate.post("k2"));
        CompletableFuture<CallerAnswer> queued =
                gate.submit(request("q", "k3", "POST", 90, null, OptionalLong.empty()));
        gate.timers.advanceMs(106);
        assertThat(codeOf(answer)).isEqualTo(ResultCode.DEADLINE_EXPIRED_RUNNING);
        assertThat(codeOf(queued)).isEqualTo(ResultCode.DEADLINE_EXPIRED);
        assertThat(gate.backend.cancelled).containsExactly(post.id());
        gate.submit(gate.post("k4"));
        assertThat(gate.backend.calls).hasSize(2);
        assertThat(gate.resolve(post)).isEqualTo(State.RUNNING);
        gate.backend.calls.get(0).succeed();
        gate.timers.settle();
        assertThat(gate.resolve(post)).isEqualTo(State.FINISHED);
        assertThat(gate.backend.calls).hasSize(3);
    }

    /** Guards against a cancelled request that still runs, and against NOT_RUN for one that was sent. */
    @Test
    void cancellation() {
        CallerRequest running = gate.post("k");
        CompletableFuture<CallerAnswer> runningAnswer = gate.submit(running);
        gate.submit(gate.post("k2"));
        CallerRequest queued = gate.post("k3");
        CompletableFuture<CallerAnswer> queuedAnswer = gate.submit(queued);
        gate.core.cancel(queued.id());
        gate.core.cancel(running.id());
        assertThat(codeOf(queuedAnswer)).isEqualTo(ResultCode.CANCELLED);
        assertThat(codeOf(runningAnswer)).isNull();
        gate.backend.calls.get(0).fail(ResultCode.OUTCOME_UNKNOWN);
        gate.timers.settle();
        assertThat(codeOf(runningAnswer)).isEqualTo(ResultCode.CANCELLED_RUNNING);
        assertThat(gate.backend.calls).hasSize(2);
    }

    /** Guards against waiting for a server that cannot cancel. */
    @Test
    void cancellationWithoutCapability() {
        GateFixture plain = new GateFixture();
        plain.attach(2, Set.of());
        plain.acquire(KeyRange.ALL, 1, TransferredRecords.NEVER_OWNED);
        CallerRequest post = plain.post("k");
        CompletableFuture<CallerAnswer> answer = plain.submit(post);
        plain.core.cancel(post.id());
        assertThat(codeOf(answer)).isEqualTo(ResultCode.CANCELLED_RUNNING);
        assertThat(plain.resolve(post)).isEqualTo(State.RUNNING);
    }
}
