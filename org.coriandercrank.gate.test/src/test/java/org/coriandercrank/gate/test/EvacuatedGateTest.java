package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.coriandercrank.gate.test.GateFixture.codeOf;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that reach a server whose failure domain the operator has evacuated, and against a gate that
 * refuses requests before the planner had the time to move its ranges.
 */
class EvacuatedGateTest {
    private static final int DELAY_MS = 700;
    private static final int TICK_MS = 100;

    private final GateFixture gate =
            new GateFixture(GateOptions.DEFAULTS.withSlowStartMs(0).withEvacuationDelayMs(DELAY_MS));

    private void evacuate() {
        gate.evacuatedDomains = Set.of(GateFixture.DOMAIN);
        gate.timers.advanceMs(TICK_MS);
    }

    @Test
    void requestsAreServedUntilTheDelayIsOver() {
        gate.startServing(2);
        evacuate();
        assertThat(codeOf(gate.submit(gate.newPost("a")))).isNull();
        assertThat(gate.backend.calls).hasSize(1);
        gate.timers.advanceMs(DELAY_MS);
        CompletableFuture<CallerAnswer> refused = gate.submit(gate.newPost("b"));
        assertThat(codeOf(refused)).isEqualTo(ResultCode.DRAINING);
        assertThat(refused.join().code().outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(gate.backend.calls).hasSize(1);
    }

    /** A call that runs ends normally; one that only waits must not be sent later. */
    @Test
    void queuedRequestsAreRefusedWhenTheDelayIsOver() {
        gate.startServing(1);
        CompletableFuture<CallerAnswer> running = gate.submit(gate.newPost("a"));
        CompletableFuture<CallerAnswer> queued = gate.submit(gate.newPost("b"));
        evacuate();
        assertThat(codeOf(queued)).isNull();
        gate.timers.advanceMs(DELAY_MS);
        assertThat(codeOf(queued)).isEqualTo(ResultCode.DRAINING);
        gate.backend.calls.get(0).succeed();
        gate.timers.runQueuedTasks();
        assertThat(codeOf(running)).isEqualTo(ResultCode.OK);
        assertThat(gate.backend.calls).hasSize(1);
    }

    @Test
    void gateThatStartsDuringAnEvacuationSendsNothing() {
        gate.evacuatedDomains = Set.of(GateFixture.DOMAIN);
        gate.startServing(1);
        assertThat(codeOf(gate.submit(gate.newPost("a")))).isEqualTo(ResultCode.DRAINING);
        assertThat(gate.backend.calls).isEmpty();
    }

    /** The second evacuation gets the whole delay, which the first one must not have used up. */
    @Test
    void serverReturnsWhenTheEvacuationEnds() {
        gate.startServing(4);
        evacuate();
        gate.timers.advanceMs(DELAY_MS);
        gate.evacuatedDomains = Set.of();
        assertThat(codeOf(gate.submit(gate.newPost("a")))).isNull();
        assertThat(gate.backend.calls).hasSize(1);
        evacuate();
        assertThat(codeOf(gate.submit(gate.newPost("b")))).isNull();
        gate.timers.advanceMs(DELAY_MS);
        assertThat(codeOf(gate.submit(gate.newPost("c")))).isEqualTo(ResultCode.DRAINING);
    }

    @Test
    void otherDomainsAreNotAffected() {
        gate.evacuatedDomains = Set.of(new FailureDomain("east-b"));
        gate.startServing(1);
        gate.timers.advanceMs(2 * DELAY_MS);
        assertThat(codeOf(gate.submit(gate.newPost("a")))).isNull();
    }
}
