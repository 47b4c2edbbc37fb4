package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.gate.Gate;
import org.coriandercrank.gate.GateDependencies;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.gate.test.FakeBackend.Call;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.concurrent.SerialExecutor;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.ownership.RequestQuarantine;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.scheduling.link.Uplink;
import org.junit.jupiter.api.Test;

/** Tests cancellations that arrive while the request waits in the task queue of the gate. */
class CancelledSubmissionTest {
    /** Runs its tasks when the test says so. */
    private static final class ManualExecutor implements SerialExecutor {
        private final Queue<Runnable> tasks = new ArrayDeque<>();

        @Override
        public boolean offer(Runnable task) {
            return tasks.add(task);
        }

        @Override
        public void execute(Runnable task) {
            tasks.add(task);
        }

        void runAll() {
            for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                task.run();
            }
        }

        @Override
        public void close() {}
    }

    private final ManualExecutor executor = new ManualExecutor();
    private final GateFixture requests = new GateFixture();
    private final FakeBackend backend = new FakeBackend(requests.timers.clock());
    private final Gate gate = startGate();

    private Gate startGate() {
        Gate newGate = Gate.start(
                new GateDependencies(
                        GateFixture.SERVICE,
                        requests,
                        () -> Long.MAX_VALUE,
                        requests.timers,
                        requests.timers.clock(),
                        new DecisionLog(0, requests.timers.clock()),
                        new SimpleMeterRegistry(),
                        (name, capacity) -> executor,
                        RequestQuarantine.NONE,
                        Uplink.UNLIMITED),
                GateOptions.DEFAULTS.withSlowStartMs(0));
        newGate.attach(
                new BackendInfo(
                        "desk-1",
                        GateFixture.SERVICE,
                        HostAddress.parse("127.0.0.1:9000"),
                        2,
                        110,
                        GateFixture.ALL_CAPABILITIES),
                backend);
        newGate.acquire(KeyRange.ALL, new Generation(1), TransferredRecords.NEVER_OWNED);
        executor.runAll();
        backend.onCall = Call::succeed;
        return newGate;
    }

    /** The request was sent first and its cancellation only closed the connection again. */
    @Test
    void requestCancelledInTheTaskQueueIsNotSent() {
        CallerRequest request = requests.newPost("k");
        CompletableFuture<CallerAnswer> answer = gate.submit(request);
        gate.cancel(request.id());
        executor.runAll();
        assertThat(backend.calls).isEmpty();
        assertThat(answer.join().code()).isEqualTo(ResultCode.CANCELLED);
    }

    /** A cancellation refers to the submissions before it: callers may use the id of a request that did not run again. */
    @Test
    void requestSubmittedAgainAfterACancellationIsSent() {
        CallerRequest request = requests.newPost("k");
        gate.submit(request);
        gate.cancel(request.id());
        CompletableFuture<CallerAnswer> second = gate.submit(request);
        executor.runAll();
        assertThat(second.join().code()).isEqualTo(ResultCode.OK);
        assertThat(backend.calls).hasSize(1);
    }
}
