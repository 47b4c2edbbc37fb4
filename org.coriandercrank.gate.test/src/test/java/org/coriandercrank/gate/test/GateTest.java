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

/** Tests a gate on its own thread with a real clock. */
class GateTest {
    private static final int REQUEST_COUNT = 2_000;

    /** Guards against access to the state outside the thread of the gate, and against lost answers. */
    @Test
    void servesOnItsOwnThread() throws Exception {
        SystemTimerService timers = new SystemTimerService();
        FakeBackend backend = new FakeBackend(MonotonicClock.SYSTEM);
        backend.onCall = Call::succeed;
        GateDependencies dependencies = new GateDependencies(
                GateFixture.SERVICE,
                new GateFixture(),
                () -> System.nanoTime() + TimeUnit.SECONDS.toNanos(2),
                timers,
                new DecisionLog(0, MonotonicClock.SYSTEM),
                new SimpleMeterRegistry());
        try (Gate gate = Gate.start(dependencies, GateOptions.DEFAULTS.withSlowStartMs(0))) {
            gate.attach(
                    new BackendInfo(
                            "desk-1",
                            GateFixture.SERVICE,
                            HostAddress.parse("127.0.0.1:9000"),
                            18,
                            110,
                            GateFixture.ALL_CAPABILITIES),
                    backend);
            gate.acquire(KeyRange.ALL, new Generation(1), TransferredRecords.NEVER_OWNED)
                    .get(5, TimeUnit.SECONDS);
            GateFixture requests = new GateFixture();
            List<CompletableFuture<CallerAnswer>> answers = new ArrayList<>();
            for (int i = 0; i < REQUEST_COUNT; i++) {
                answers.add(gate.submit(requests.newPost("k" + i)));
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
            assertThat(gate.submit(requests.newPost("late"))
                            .get(5, TimeUnit.SECONDS)
                            .code())
                    .isEqualTo(ResultCode.NOT_OWNER);
        } finally {
            timers.close();
        }
    }
}
