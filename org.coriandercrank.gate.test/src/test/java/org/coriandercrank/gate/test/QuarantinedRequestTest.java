package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.gate.test.FakeBackend.Call;
import org.coriandercrank.kernel.backend.ProbeResult;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.RequestFingerprint;
import org.coriandercrank.kernel.ownership.RequestQuarantine.Status;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a gate that sends a request on although it crashes servers, or that does not report what it observes. */
class QuarantinedRequestTest {
    private static final RequestFingerprint CRASHING = new RequestFingerprint(1);
    private static final RequestFingerprint OTHER = new RequestFingerprint(2);

    private final FakeQuarantine quarantine = new FakeQuarantine();
    private final GateFixture gate =
            new GateFixture(GateOptions.DEFAULTS.withSlowStartMs(0), quarantine).startServing(2);

    private CompletableFuture<CallerAnswer> submit(RequestFingerprint fingerprint) {
        CallerRequest request = gate.newPost("k" + fingerprint).withFingerprint(Optional.of(fingerprint));
        return gate.submit(request);
    }

    private int sentCalls() {
        return gate.backend.calls.size();
    }

    private Call lastCall() {
        return gate.backend.calls.get(sentCalls() - 1);
    }

    @Test
    void quarantinedRequestIsRefusedAtOnce() {
        quarantine.statuses.put(CRASHING, Status.QUARANTINED);
        CallerAnswer answer = submit(CRASHING).join();
        assertThat(answer.code()).isEqualTo(ResultCode.QUARANTINED);
        assertThat(answer.outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(answer.retryAfterMs()).hasValue(60_000);
        assertThat(sentCalls()).isZero();
    }

    /** The third crash may become known while copies of the request wait in the queue. */
    @Test
    void queuedRequestIsRefusedWhenItIsQuarantined() {
        submit(OTHER);
        submit(OTHER);
        CompletableFuture<CallerAnswer> queued = submit(CRASHING);
        assertThat(queued).isNotDone();
        quarantine.statuses.put(CRASHING, Status.QUARANTINED);
        gate.timers.advanceMs(2.0 * GateOptions.DEFAULTS.busyTickMs());
        assertThat(queued.join().code()).isEqualTo(ResultCode.QUARANTINED);
        assertThat(sentCalls()).isEqualTo(2);
    }

    /** If two suspects ran at a server that crashes, either could be the cause. */
    @ParameterizedTest
    @EnumSource(names = {"SUSPECT", "CONFINED"})
    void suspectsRunOneAtATimeAndDelayNoOthers(Status status) {
        quarantine.statuses.put(CRASHING, status);
        quarantine.statuses.put(OTHER, Status.SUSPECT);
        submit(CRASHING);
        submit(OTHER);
        assertThat(sentCalls()).isEqualTo(1);
        submit(new RequestFingerprint(3));
        assertThat(lastCall().backendCall.request().fingerprint()).contains(new RequestFingerprint(3));
        gate.backend.calls.get(0).succeed();
        gate.timers.runQueuedTasks();
        assertThat(lastCall().backendCall.request().fingerprint()).contains(OTHER);
    }

    @Test
    void requestsThatRanAtACrashAreReported() {
        submit(CRASHING);
        submit(OTHER);
        gate.backend.probeResult = ProbeResult.REFUSED;
        gate.backend.openCalls().forEach(call -> call.fail(ResultCode.OUTCOME_UNKNOWN));
        gate.timers.advanceMs(200);
        assertThat(quarantine.serverCrashes).hasSize(1);
        assertThat(quarantine.serverCrashes.get(0)).containsExactlyInAnyOrder(CRASHING, OTHER);
    }

    /** Only a run that the server survived and completed proves a request innocent. */
    @ParameterizedTest
    @CsvSource({"200, true", "404, true", "500, false", "504, false"})
    void answerOfARunIsReported(int status, boolean reported) {
        submit(CRASHING);
        lastCall().answer.complete(CallerAnswer.executed(status, java.util.List.of(), new byte[0]));
        gate.timers.runQueuedTasks();
        assertThat(quarantine.answered.contains(CRASHING)).isEqualTo(reported);
    }
}
