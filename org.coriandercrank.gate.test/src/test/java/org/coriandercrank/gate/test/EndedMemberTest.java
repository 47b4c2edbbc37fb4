package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.backend.Grant;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.table.BackendInfo.Capability;
import org.coriandercrank.kernel.table.KeyRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a gate that uses the ranges of a sealed member under the lease of the next member of its daemon: others
 * have had these ranges under newer fencing tokens since, and a call in flight or a late release kept them granted.
 */
class EndedMemberTest {
    private final GateFixture gate = new GateFixture();

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void rangesOfAnEndedMemberAreNotGrantedUnderTheNextLease(boolean callInFlight) {
        gate.startServing(4);
        if (callInFlight) {
            gate.submit(gate.newPost("k"));
        }
        gate.expireLease();
        gate.core.endMember();
        int grantsBefore = gate.backend.grants.size();
        int callsBefore = gate.backend.calls.size();

        gate.leaseRenewed = true;
        for (int i = 0; i < 100; i++) {
            gate.timers.advanceMs(20);
            assertThat(gate.submit(gate.newPost("k")))
                    .isCompletedWithValueMatching(answer -> answer.code() != ResultCode.OK);
        }
        assertThat(gate.backend.grants.subList(grantsBefore, gate.backend.grants.size()))
                .allSatisfy(grant -> assertThat(grant.ranges()).isEmpty());
        assertThat(gate.backend.calls).hasSize(callsBefore);
        assertThat(gate.core.status().serving()).isEmpty();
    }

    /** The release that the placement of the ended member requests arrives after the next lease has begun. */
    @Test
    void lateReleaseOfAnEndedMemberCompletes() {
        gate.startServing(4);
        gate.submit(gate.newPost("k"));
        gate.backend.calls.get(0).succeed();
        gate.timers.runQueuedTasks();
        gate.expireLease();
        gate.core.endMember();
        gate.leaseRenewed = true;
        gate.timers.advanceMs(50);
        CompletableFuture<TransferredRecords> released = gate.release(KeyRange.ALL);
        gate.timers.advanceMs(50);
        assertThat(released.join().records()).hasSize(1);
        assertThat(released.join().completeForMs()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void nextMemberAcquiresUnderANewerFence() {
        gate.attach(4, Set.of(Capability.VALIDITY));
        gate.acquire(KeyRange.ALL, 1, TransferredRecords.NEVER_OWNED);
        gate.expireLease();
        gate.core.endMember();
        gate.leaseRenewed = true;
        assertThat(gate.acquire(KeyRange.ALL, 1, TransferredRecords.NONE)).isCompletedExceptionally();
        CompletableFuture<Void> acquired = gate.acquire(KeyRange.ALL, 3, TransferredRecords.NONE);
        gate.timers.advanceMs(50);
        assertThat(acquired).isCompleted();
        CompletableFuture<CallerAnswer> answer = gate.submit(gate.newPost("k"));
        gate.backend.calls.get(0).succeed();
        gate.timers.runQueuedTasks();
        assertThat(GateFixture.codeOf(answer)).isEqualTo(ResultCode.OK);
        assertThat(gate.backend.lastGrant().ranges())
                .extracting(Grant.GrantedRange::fence)
                .extracting(fence -> fence.value())
                .isEqualTo(List.of(3L));
    }
}
