package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.gate.internal.ConcurrencyLimit;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.CapacityControl;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.junit.jupiter.api.Test;

/** Guards what a gate does after a refusal in deployments whose configuration has none of the terms for heavy load. */
class RefusedCallTest {
    private static final int SLOTS = 8;
    private static final long SERVICE_MS = 400;

    private final GateFixture gate = new GateFixture(GateOptions.DEFAULTS.withSlowStartMs(0));

    private void start() {
        gate.serviceConfig =
                ServiceConfig.withDefaults(GateFixture.SERVICE, false).withCapacityControl(CapacityControl.REFUSALS, 0);
        gate.attach(SLOTS, GateFixture.ALL_CAPABILITIES);
        gate.backend.onCall = call -> gate.timers.once(SERVICE_MS, gate.timers, call::succeed);
        gate.submit(gate.newPost("first"));
        gate.timers.advanceMs(SERVICE_MS + 10);
        gate.backend.onCall = call -> {};
    }

    /**
     * The retry-after time of a refused caller was derived from the limit before the refusal: 50 ms, although the queue
     * in front of the halved limit takes longer.
     */
    @Test
    void retryAfterTimeFollowsTheLimitAfterTheRefusal() {
        start();
        List<CompletableFuture<CallerAnswer>> answers = new ArrayList<>();
        for (int i = 0; i < SLOTS + 2; i++) {
            answers.add(gate.submit(gate.newPost("k" + i)));
        }
        assertThat(gate.backend.openCalls()).hasSize(SLOTS);
        gate.backend.openCalls().get(0).fail(ResultCode.OVERLOADED);
        gate.timers.runQueuedTasks();
        // Work of 2 queued and 5 running requests of 400 ms each in front of 4 slots.
        assertThat(answers.get(0).join().retryAfterMs()).hasValue(700);
    }

    /** Only a failed call halves the limit; an answer that merely carries the code says nothing about the server. */
    @Test
    void answerWithTheCodeLeavesTheLimit() {
        start();
        for (int i = 0; i < SLOTS; i++) {
            gate.submit(gate.newPost("k" + i));
        }
        gate.backend
                .openCalls()
                .get(0)
                .answer
                .complete(CallerAnswer.retryLater(ResultCode.OVERLOADED, "an answer", 100));
        gate.timers.runQueuedTasks();
        assertThat(gate.core.load().concurrency()).isEqualTo(SLOTS);
        gate.backend.openCalls().get(0).fail(ResultCode.OVERLOADED);
        gate.timers.runQueuedTasks();
        assertThat(gate.core.load().concurrency()).isEqualTo(halved());
    }

    private int halved() {
        ConcurrencyLimit limit = new ConcurrencyLimit(SLOTS, 0, 1_000, gate.nowNanos());
        limit.onOverload(gate.nowNanos());
        return limit.limit(gate.nowNanos());
    }
}
