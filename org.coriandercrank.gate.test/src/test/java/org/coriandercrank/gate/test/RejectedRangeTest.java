package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.RangeAssignment;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a stream of requests to a backend server that does not hold their range although its grant was
 * acknowledged, as after a lost answer to a heartbeat. Each of them counts against the retry budget of the service.
 */
class RejectedRangeTest {
    private static final int PARK_MS = 1_000;

    private final GateFixture gate =
            new GateFixture(GateOptions.DEFAULTS.withSlowStartMs(0).withParkingLimits(4, PARK_MS));

    @BeforeEach
    void serveAllKeys() {
        RangeAssignment all = new RangeAssignment(KeyRange.ALL, GateFixture.SELF, new Generation(1), List.of());
        gate.tables =
                Map.of(GateFixture.SERVICE, new AssignmentTable(GateFixture.SERVICE, new Generation(1), List.of(all)));
        gate.serving(8);
        gate.backend.answersGrants = false;
    }

    private CompletableFuture<CallerAnswer> rejectedCall() {
        CompletableFuture<CallerAnswer> rejected = gate.submit(gate.post("a"));
        gate.backend.open().get(0).fail(ResultCode.FENCE_REJECTED);
        gate.timers.settle();
        return rejected;
    }

    @Test
    void requestsWaitUntilTheServerHoldsTheRangeAgain() {
        assertThat(GateFixture.codeOf(rejectedCall())).isEqualTo(ResultCode.FENCE_REJECTED);
        int sent = gate.backend.calls.size();
        CompletableFuture<CallerAnswer> waiting = gate.submit(gate.post("a"));
        assertThat(gate.backend.calls).hasSize(sent);
        assertThat(waiting).isNotDone();

        gate.backend.answersGrants = true;
        gate.timers.advanceMs(400);
        assertThat(gate.backend.calls).hasSize(sent + 1);
        gate.backend.open().get(0).succeed();
        gate.timers.settle();
        assertThat(GateFixture.codeOf(waiting)).isEqualTo(ResultCode.OK);
    }

    @Test
    void requestsAreRefusedWhenTheServerDoesNotTakeTheRange() {
        rejectedCall();
        int sent = gate.backend.calls.size();
        CompletableFuture<CallerAnswer> waiting = gate.submit(gate.post("a"));
        gate.timers.advanceMs(PARK_MS + 50);
        assertThat(GateFixture.codeOf(waiting)).isIn(ResultCode.RANGE_MOVING, ResultCode.DEADLINE_EXPIRED);
        assertThat(gate.backend.calls).hasSize(sent);
    }

    /** An acknowledgement on its way at the time of the rejection says nothing of what the server holds after it. */
    @Test
    void earlierGrantDoesNotEndTheWait() {
        gate.timers.advanceMs(350);
        assertThat(gate.backend.grants).hasSizeGreaterThan(1);
        CompletableFuture<CallerAnswer> rejected = rejectedCall();
        assertThat(GateFixture.codeOf(rejected)).isEqualTo(ResultCode.FENCE_REJECTED);
        int sent = gate.backend.calls.size();
        gate.submit(gate.post("a"));
        gate.backend.acknowledgeOldest();
        gate.timers.settle();
        assertThat(gate.backend.calls).hasSize(sent);
    }
}
