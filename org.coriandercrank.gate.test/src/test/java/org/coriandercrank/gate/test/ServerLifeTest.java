package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.KeyRange;
import org.junit.jupiter.api.Test;

/** Guards what a gate does when its backend server leaves, ends, or is followed by another one. */
class ServerLifeTest {
    private final GateFixture gate = new GateFixture();

    private FakeBackend attachNext() {
        FakeBackend next = new FakeBackend(gate.timers.clock());
        gate.core.attach(
                new BackendInfo(
                        "desk-2", GateFixture.SERVICE, HostAddress.parse("127.0.0.1:9000"), 2, 9, GateFixture.ALL),
                next);
        gate.timers.settle();
        return next;
    }

    /** Requests that were queued before the end of the drain time reached the server after it. */
    @Test
    void queuedRequestsDoNotReachAServerThatLeaves() {
        gate.serving(1);
        CompletableFuture<CallerAnswer> running = gate.submit(gate.post("a"));
        CompletableFuture<CallerAnswer> queued = gate.submit(gate.post("b"));
        gate.core.stopSending();
        gate.timers.settle();
        assertThat(GateFixture.codeOf(queued)).isEqualTo(ResultCode.DRAINING);
        assertThat(running).isNotDone();
        gate.backend.calls.get(0).succeed();
        gate.timers.settle();
        assertThat(GateFixture.codeOf(running)).isEqualTo(ResultCode.OK);
        assertThat(GateFixture.codeOf(gate.submit(gate.post("c")))).isEqualTo(ResultCode.DRAINING);
        assertThat(gate.backend.calls).hasSize(1);
    }

    @Test
    void nextServerGetsRequestsAgain() {
        gate.rules = ServiceConfig.withDefaults(GateFixture.SERVICE, false);
        gate.attach(1, GateFixture.ALL);
        gate.core.stopSending();
        FakeBackend next = attachNext();
        gate.submit(gate.post("a"));
        assertThat(next.calls).hasSize(1);
    }

    @Test
    void queuedRequestsOfAServerThatEndedAreRefused() {
        gate.serving(1);
        gate.submit(gate.post("a"));
        CompletableFuture<CallerAnswer> queued = gate.submit(gate.post("b"));
        gate.core.detach();
        gate.timers.settle();
        assertThat(GateFixture.codeOf(queued)).isEqualTo(ResultCode.BACKEND_UNAVAILABLE);
        assertThat(gate.core.status().serving()).isEmpty();
    }

    /** The next server must not get the grants of the one before, whose fences others may have seen. */
    @Test
    void rangesOfAServerThatEndedAreNotGrantedToTheNext() {
        gate.serving(1);
        gate.core.detach();
        FakeBackend next = attachNext();
        gate.timers.advanceMs(5_000);
        assertThat(next.grants).allSatisfy(grant -> assertThat(grant.ranges()).isEmpty());
        assertThat(gate.acquire(KeyRange.ALL, 1, TransferredRecords.NONE)).isCompletedExceptionally();
        assertThat(gate.acquire(KeyRange.ALL, 2, TransferredRecords.NONE)).isCompleted();
        assertThat(next.lastGrant().ranges()).hasSize(1);
    }

    /** A release that waits for a server must end when the server has ended. */
    @Test
    void releaseCompletesWhenTheServerHasEnded() {
        gate.serving(1);
        gate.backend.answersGrants = false;
        CompletableFuture<TransferredRecords> released = gate.release(KeyRange.ALL);
        assertThat(released).isNotDone();
        gate.core.detach();
        gate.timers.settle();
        assertThat(released).isCompleted();
    }

    /** Payments without an owner go on while the lease is away: no other server could run them. */
    @Test
    void serviceWithoutKeysNeedsNoLease() {
        gate.rules = ServiceConfig.withDefaults(GateFixture.SERVICE, false);
        gate.attach(1, GateFixture.ALL);
        gate.lapseLease();
        gate.submit(gate.post("a"));
        assertThat(gate.backend.calls).hasSize(1);
    }
}
