package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.gate.Gate;
import org.coriandercrank.gate.GateDependencies;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.gate.test.FakeBackend.Call;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.time.MonotonicClock;
import org.coriandercrank.kernel.time.SystemTimerService;
import org.junit.jupiter.api.Test;

class GateTest {
    private static final int REQUESTS = 2_000;

    /** Guards against state that is touched outside the thread of the gate, and against answers that get lost. */
    @Test
    void servesOnItsOwnThread() throws Exception {
        SystemTimerService timers = new SystemTimerService();
        FakeBackend backend = new FakeBackend(MonotonicClock.SYSTEM);
        backend.onCall = Call::succeed;
        GateDependencies inputs = new GateDependencies(
                GateFixture.SERVICE,
                new GateFixture(),
                () -> System.nanoTime() + TimeUnit.SECONDS.toNanos(2),
                timers,
                new DecisionLog(0, MonotonicClock.SYSTEM),
                new SimpleMeterRegistry());
        try (Gate gate = Gate.start(inputs, GateOptions.DEFAULTS.withSlowStartMs(0))) {
            gate.attach(
                    new BackendInfo(
                            "desk-1",
                            GateFixture.SERVICE,
                            HostAddress.parse("127.0.0.1:9000"),
                            18,
                            110,
                            GateFixture.ALL),
                    backend);
            gate.acquire(KeyRange.ALL, new Generation(1), TransferredRecords.NEVER_OWNED)
                    .get(5, TimeUnit.SECONDS);
            GateFixture ids = new GateFixture();
            List<CompletableFuture<CallerAnswer>> answers = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                answers.add(gate.submit(ids.post("k" + i)));
            }
            CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new)).get(10, TimeUnit.SECONDS);
            assertThat(answers)
                    .allMatch(a -> a.join().code() == ResultCode.OK || a.join().code() == ResultCode.OVERLOADED);
            assertThat(answers.get(0).join().code()).isEqualTo(ResultCode.OK);
            assertThat(gate.release(KeyRange.ALL).get(5, TimeUnit.SECONDS).records())
                    .hasSize((int) answers.stream()
                            .filter(a -> a.join().code() == ResultCode.OK)
                            .count());
            gate.drain().get(5, TimeUnit.SECONDS);
            assertThat(gate.submit(ids.post("late")).get(5, TimeUnit.SECONDS).code())
                    .isEqualTo(ResultCode.NOT_OWNER);
        } finally {
            timers.close();
        }
    }
}
