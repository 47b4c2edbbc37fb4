package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.CapacityControl;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.junit.jupiter.api.Test;

/** A request that a full server never answers costs one slot until its deadline, and is no sign of a crash. */
class SilentCallTest {
    private static final long DEADLINE_MS = 1_000;
    private static final long GRACE_MS = 100;

    private final GateFixture gate = new GateFixture();

    @Test
    void silentCallFreesItsSlotAndDoesNotCountAsACrash() {
        gate.serviceConfig =
                ServiceConfig.withDefaults(GateFixture.SERVICE, false).withCapacityControl(CapacityControl.MEASURED, 0);
        gate.attach(1, GateFixture.ALL_CAPABILITIES);
        gate.submit(gate.newPost("silent"));
        gate.timers.advanceMs(DEADLINE_MS / 2);
        CompletableFuture<CallerAnswer> next = gate.submit(gate.newPost("next"));
        gate.timers.advanceMs(DEADLINE_MS / 2 + GRACE_MS - 1);
        assertThat(gate.backend.calls).hasSize(1);
        gate.timers.advanceMs(1);
        gate.backend.calls.get(0).fail(ResultCode.OUTCOME_UNKNOWN);
        gate.timers.runQueuedTasks();
        assertThat(gate.backend.calls).hasSize(2);
        gate.backend.calls.get(1).succeed();
        gate.timers.advanceMs(200);
        assertThat(next.join().code()).isEqualTo(ResultCode.OK);
        assertThat(gate.backend.probes).isZero();
        assertThat(gate.meters.counter("crank.gate.server.crashes").count()).isZero();
    }
}
