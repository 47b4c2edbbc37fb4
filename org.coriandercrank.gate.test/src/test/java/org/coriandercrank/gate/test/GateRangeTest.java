package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.coriandercrank.gate.test.GateFixture.ALL;
import static org.coriandercrank.gate.test.GateFixture.HIGH;
import static org.coriandercrank.gate.test.GateFixture.LOW;
import static org.coriandercrank.gate.test.GateFixture.codeOf;

import java.util.EnumSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.gate.test.FakeBackend.Call;
import org.coriandercrank.kernel.backend.Grant;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.BackendRule;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.placement.RangeLoad;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.table.BackendInfo.Capability;
import org.coriandercrank.kernel.table.KeyRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class GateRangeTest {
    /** Hashes f97f... (HIGH) and 15d6... (LOW). */
    private static final String HIGH_KEY = "key0";

    private final GateFixture gate = new GateFixture();

    /** Guards against a release that completes too early, or never although it could. */
    @ParameterizedTest
    @CsvSource({
        "true,  '',                false, true",
        "false, 'VALIDITY',        false, true",
        "false, 'DEADLINE,FENCE',  false, false",
        "false, '',                true,  true",
    })
    void releaseWhenTheRevokeIsAnsweredOrNot(
            boolean answered, String capabilities, boolean withoutProof, boolean completes) {
        GateFixture other =
                new GateFixture(GateOptions.DEFAULTS.withSlowStartMs(0).withUnconfirmedRelease(withoutProof));
        other.attach(2, parse(capabilities));
        other.acquire(KeyRange.ALL, 1, TransferredRecords.NEVER_OWNED);
        other.backend.answersGrants = answered;
        CompletableFuture<TransferredRecords> released = other.release(KeyRange.ALL);
        assertThat(released.isDone()).isEqualTo(answered);
        other.timers.advanceMs(950);
        assertThat(released.isDone()).isEqualTo(answered);
        other.timers.advanceMs(60_000);
        assertThat(released.isDone()).isEqualTo(completes);
    }

    /** Guards against a revoke before the requests in flight have ended, and a move that cuts off queued callers late. */
    @Test
    void releaseWaitsForRequestsInFlight() {
        gate.serving(1);
        gate.submit(gate.post(HIGH_KEY));
        CompletableFuture<CallerAnswer> queued = gate.submit(gate.post(HIGH_KEY));
        CompletableFuture<TransferredRecords> released = gate.release(HIGH);
        assertThat(codeOf(queued)).isEqualTo(ResultCode.NOT_OWNER);
        assertThat(codeOf(gate.submit(gate.post(HIGH_KEY)))).isEqualTo(ResultCode.RANGE_MOVING);
        gate.timers.advanceMs(500);
        assertThat(gate.backend.lastGrant().ranges()).anyMatch(g -> g.range().equals(HIGH));
        gate.timers.advanceMs(510);
        assertThat(gate.backend.cancelled).hasSize(1);
        assertThat(released.isDone()).isFalse();
        gate.backend.calls.get(0).succeed();
        gate.timers.settle();
        gate.timers.advanceMs(5);
        assertThat(released.join().records()).hasSize(1);
        assertThat(released.join().completeForMs()).isEqualTo(Long.MAX_VALUE);
        assertThat(gate.backend.lastGrant().ranges())
                .extracting(Grant.GrantedRange::range)
                .containsExactly(LOW);
        assertThat(codeOf(gate.submit(gate.post(HIGH_KEY)))).isEqualTo(ResultCode.NOT_OWNER);
    }

    /** Guards against completing while a call with a lost answer may still run. */
    @ParameterizedTest
    @CsvSource({"'DEADLINE', 1300", "'VALIDITY', 61300", "'', 61300"})
    void releaseWaitsForLostCalls(String capabilities, long completeAfterMs) {
        gate.attach(1, parse(capabilities));
        gate.acquire(KeyRange.ALL, 1, TransferredRecords.NEVER_OWNED);
        gate.submit(gate.post(HIGH_KEY));
        gate.backend.calls.get(0).fail(ResultCode.OUTCOME_UNKNOWN);
        CompletableFuture<TransferredRecords> released = gate.release(KeyRange.ALL);
        gate.timers.advanceMs(1_000);
        assertThat(released.isDone()).isFalse();
        gate.timers.advanceMs(completeAfterMs - 1_000.0);
        assertThat(released.isDone()).isTrue();
    }

    /** Guards against mixing up a range with its successor under a newer fence. */
    @Test
    void acquireDuringARelease() {
        gate.serving(2);
        gate.submit(gate.post(HIGH_KEY));
        CompletableFuture<TransferredRecords> released = gate.release(KeyRange.ALL);
        assertThat(gate.acquire(KeyRange.ALL, 1, TransferredRecords.NONE)).isCompletedExceptionally();
        assertThat(gate.acquire(KeyRange.ALL, 3, TransferredRecords.NONE)).isCompleted();
        gate.submit(gate.post(HIGH_KEY));
        assertThat(gate.backend.calls)
                .extracting(c -> c.request.fence().value())
                .containsExactly(1L, 3L);
        assertThat(released.isDone()).isFalse();
        gate.backend.calls.get(0).succeed();
        gate.timers.settle();
        gate.timers.advanceMs(5);
        assertThat(released).isCompleted();
        assertThat(gate.core.status().serving()).hasSize(1);
    }

    /** Guards against grants that outlive the lease, and against a gate that stays shut when the lease returns. */
    @Test
    void grantsFollowTheLease() {
        gate.serving(2);
        gate.stopLeaseIn(400);
        gate.timers.advanceMs(399);
        assertThat(gate.backend.lastGrant().validityMs()).isLessThanOrEqualTo(400);
        gate.timers.advanceMs(2);
        int grants = gate.backend.grants.size();
        assertThat(codeOf(gate.submit(gate.post("k")))).isEqualTo(ResultCode.LEASE_LAPSED);
        gate.timers.advanceMs(5_000);
        assertThat(gate.backend.grants).hasSize(grants);
        gate.leaseRenewed = true;
        gate.timers.advanceMs(6);
        gate.submit(gate.post("k"));
        assertThat(gate.backend.calls).hasSize(1);
        assertThat(gate.meters.counter("crank.gate.lease.refusals").count()).isEqualTo(1);
    }

    /** Guards against renewals that come too late or too often. */
    @Test
    void grantsAreRenewedEveryThirdOfTheValidity() {
        gate.serving(2);
        gate.timers.advanceMs(10_000);
        assertThat(gate.backend.grants.size()).isBetween(28, 32);
        assertThat(gate.backend.grants).extracting(Grant::sequence).isSorted();
    }

    /** Guards against a gate that never gets past the grants of a predecessor on the same server. */
    @Test
    void continuesAfterALargerSequence() {
        gate.backend.sequence = 700;
        gate.serving(2);
        assertThat(gate.backend.lastGrant().sequence()).isGreaterThan(700);
        assertThat(gate.core.status().serving()).hasSize(1);
    }

    /** Guards against a failed acquire that cannot be repeated, or that leaves a range half served. */
    @ParameterizedTest
    @CsvSource({"BACKEND_UNAVAILABLE, BACKEND_UNAVAILABLE", "OUTCOME_UNKNOWN, OUTCOME_UNKNOWN", ", CALL_TIMEOUT"})
    void failedAcquireMayBeRepeated(ResultCode failure, ResultCode code) {
        gate.attach(2, ALL);
        gate.backend.grantFailure = failure;
        gate.backend.answersGrants = false;
        CompletableFuture<Void> failed = gate.acquire(LOW, 4, TransferredRecords.NONE);
        gate.timers.advanceMs(800);
        assertThat(CrankException.of(failed.handle((v, e) -> e).join()).code()).isEqualTo(code);
        gate.backend.grantFailure = null;
        gate.backend.answersGrants = true;
        CompletableFuture<Void> repeated = gate.acquire(LOW, 4, TransferredRecords.NONE);
        gate.timers.advanceMs(350);
        assertThat(repeated).isCompleted();
    }

    /** Guards against new work on a leaving server, and against a drain that cuts off what was admitted. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void drain(boolean byRule) {
        gate.serving(1);
        gate.submit(gate.post("a"));
        gate.submit(gate.post("b"));
        CompletableFuture<Void> drained = new CompletableFuture<>();
        if (byRule) {
            gate.backendRules = List.of(new BackendRule("desk-1", 100, true));
        } else {
            drained = gate.core.drain();
        }
        assertThat(codeOf(gate.submit(gate.post("c")))).isEqualTo(ResultCode.DRAINING);
        gate.timers.advanceMs(10);
        assertThat(gate.backend.drained).isFalse();
        gate.backend.calls.get(0).succeed();
        gate.timers.settle();
        assertThat(gate.backend.drained).isEqualTo(!byRule);
        assertThat(drained.isDone()).isFalse();
        gate.backend.calls.get(1).succeed();
        gate.timers.settle();
        assertThat(drained.isDone()).isEqualTo(!byRule);
    }

    /** Guards against a server that goes on refusing all requests after its drain rule was withdrawn. */
    @Test
    void withdrawnDrainRuleLeavesNoTrace() {
        gate.serving(1);
        gate.backendRules = List.of(new BackendRule("desk-1", 100, true));
        assertThat(codeOf(gate.submit(gate.post("a")))).isEqualTo(ResultCode.DRAINING);
        gate.timers.advanceMs(1_000);
        assertThat(gate.backend.drained).isFalse();

        gate.backendRules = List.of();
        CompletableFuture<?> served = gate.submit(gate.post("b"));
        gate.timers.settle();
        gate.backend.calls.get(0).succeed();
        gate.timers.settle();
        assertThat(served).isCompleted();
        assertThat(gate.backend.calls).hasSize(1);
    }

    /** Guards against a cold server that gets its full load at once. */
    @Test
    void concurrencyGrowsAfterAnAttach() {
        GateFixture cold = new GateFixture(GateOptions.DEFAULTS.withSlowStartMs(1_000)).serving(8);
        for (int i = 0; i < 8; i++) {
            cold.submit(GateFixture.request("i" + i, "k" + i, "GET", 5_000, null, OptionalLong.empty()));
        }
        assertThat(cold.backend.calls).hasSize(2);
        cold.timers.advanceMs(500);
        assertThat(cold.backend.calls).hasSize(5);
        cold.timers.advanceMs(505);
        assertThat(cold.backend.calls).hasSize(8);
    }

    /** Guards against load reports that miss a hot key or invent one. */
    @Test
    void loadsNameHotHashes() {
        gate.serving(2);
        gate.backend.onCall = Call::succeed;
        for (int i = 0; i < 4_000; i++) {
            String key = i % 4 == 0 ? HIGH_KEY : "other" + i;
            gate.submit(GateFixture.request("l" + i, key, "GET", 1_000, null, OptionalLong.empty()));
            gate.timers.advanceMs(5);
        }
        RangeLoad load = gate.core.loads().get(0);
        assertThat(load.requestsPerSecond()).isBetween(190.0, 210.0);
        assertThat(load.hotHashes()).hasSize(1);
        assertThat(load.hotHashes().get(0).requestsPerSecond()).isBetween(45.0, 55.0);
    }

    /** Guards against a service without keys that needs ranges. */
    @Test
    void serviceNotDividedByKeyNeedsNoRange() {
        gate.rules = ServiceConfig.withDefaults(GateFixture.SERVICE, false);
        gate.attach(1, ALL);
        CompletableFuture<CallerAnswer> answer = gate.submit(gate.post("k"));
        gate.backend.calls.get(0).succeed();
        gate.timers.settle();
        assertThat(codeOf(answer)).isEqualTo(ResultCode.OK);
        assertThat(gate.backend.grants).isEmpty();
    }

    private static Set<Capability> parse(String names) {
        Set<Capability> capabilities = EnumSet.noneOf(Capability.class);
        for (String name : names.split(",")) {
            if (!name.isEmpty()) {
                capabilities.add(Capability.valueOf(name));
            }
        }
        return capabilities;
    }
}
