package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.coriandercrank.gate.test.GateFixture.ALL_CAPABILITIES;
import static org.coriandercrank.gate.test.GateFixture.LOWER_HALF;
import static org.coriandercrank.gate.test.GateFixture.UPPER_HALF;
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

/** Tests acquires, grants, releases and drains of a gate, and the loads that it reports. */
class GateRangeTest {
    /** Key whose hash f97f... is in the upper half of the hash space. */
    private static final String UPPER_HALF_KEY = "key0";

    private final GateFixture gate = new GateFixture();

    /** Guards against a release that completes too early, or never although it may complete. */
    @ParameterizedTest
    @CsvSource({
        "true,  '',                false, true",
        "false, 'VALIDITY',        false, true",
        "false, 'DEADLINE,FENCE',  false, false",
        "false, '',                true,  true",
    })
    void releaseDependsOnRevocationAnswer(
            boolean answered, String capabilities, boolean allowUnconfirmed, boolean completes) {
        GateFixture fixture =
                new GateFixture(GateOptions.DEFAULTS.withSlowStartMs(0).withUnconfirmedRelease(allowUnconfirmed));
        fixture.attach(2, parseCapabilities(capabilities));
        fixture.acquire(KeyRange.ALL, 1, TransferredRecords.NEVER_OWNED);
        fixture.backend.answersGrants = answered;
        CompletableFuture<TransferredRecords> released = fixture.release(KeyRange.ALL);
        assertThat(released.isDone()).isEqualTo(answered);
        fixture.timers.advanceMs(950);
        assertThat(released.isDone()).isEqualTo(answered);
        fixture.timers.advanceMs(60_000);
        assertThat(released.isDone()).isEqualTo(completes);
    }

    /**
     * Guards against a release that completes although an earlier grant of the range is still on its way to the server. An
     * acquire of another range must not wait for that.
     */
    @Test
    void releaseWaitsForAnEarlierGrantOnItsWay() {
        gate.attach(2, ALL_CAPABILITIES);
        gate.acquire(UPPER_HALF, 1, TransferredRecords.NEVER_OWNED);
        gate.backend.mayHoldEarlierGrants = true;
        CompletableFuture<TransferredRecords> released = gate.release(UPPER_HALF);
        gate.timers.advanceMs(100);
        assertThat(gate.backend.acknowledgedSequence)
                .isEqualTo(gate.backend.lastGrant().sequence());
        assertThat(released).isNotDone();
        assertThat(gate.acquire(LOWER_HALF, 2, TransferredRecords.NONE)).isCompleted();
        gate.backend.mayHoldEarlierGrants = false;
        gate.timers.advanceMs(100);
        assertThat(released).isDone();
    }

    /** Guards against a release that never completes because the range is granted again under a newer fencing token. */
    @Test
    void releaseDoesNotWaitForANewerGrantOfTheRange() {
        gate.startServing(2);
        gate.submit(gate.newPost(UPPER_HALF_KEY));
        CompletableFuture<TransferredRecords> released = gate.release(KeyRange.ALL);
        assertThat(gate.acquire(KeyRange.ALL, 3, TransferredRecords.NONE)).isCompleted();
        gate.backend.mayHoldEarlierGrants = true;
        gate.backend.calls.get(0).succeed();
        gate.timers.advanceMs(100);
        assertThat(released).isDone();
    }

    /** Guards against a revocation while requests are in flight, and against late refusal of queued requests. */
    @Test
    void releaseWaitsForRequestsInFlight() {
        gate.startServing(1);
        gate.submit(gate.newPost(UPPER_HALF_KEY));
        CompletableFuture<CallerAnswer> queued = gate.submit(gate.newPost(UPPER_HALF_KEY));
        CompletableFuture<TransferredRecords> released = gate.release(UPPER_HALF);
        assertThat(codeOf(queued)).isEqualTo(ResultCode.NOT_OWNER);
        assertThat(codeOf(gate.submit(gate.newPost(UPPER_HALF_KEY)))).isEqualTo(ResultCode.RANGE_MOVING);
        gate.timers.advanceMs(500);
        assertThat(gate.backend.lastGrant().ranges()).anyMatch(g -> g.range().equals(UPPER_HALF));
        gate.timers.advanceMs(510);
        assertThat(gate.backend.cancelledIds).hasSize(1);
        assertThat(released.isDone()).isFalse();
        gate.backend.calls.get(0).succeed();
        gate.timers.runQueuedTasks();
        gate.timers.advanceMs(5);
        assertThat(released.join().records()).hasSize(1);
        assertThat(released.join().completeForMs()).isEqualTo(Long.MAX_VALUE);
        assertThat(gate.backend.lastGrant().ranges())
                .extracting(Grant.GrantedRange::range)
                .containsExactly(LOWER_HALF);
        assertThat(codeOf(gate.submit(gate.newPost(UPPER_HALF_KEY)))).isEqualTo(ResultCode.NOT_OWNER);
    }

    /**
     * Guards against a release that completes while a call with a lost answer may still run. The deadline is 1 s; the
     * call counts as ended 250 ms later if the server honours deadlines, and 60 s later otherwise.
     */
    @ParameterizedTest
    @CsvSource({"'DEADLINE', 1300", "'VALIDITY', 61300", "'', 61300"})
    void releaseWaitsForLostCalls(String capabilities, long completeAfterMs) {
        gate.attach(1, parseCapabilities(capabilities));
        gate.acquire(KeyRange.ALL, 1, TransferredRecords.NEVER_OWNED);
        gate.submit(gate.newPost(UPPER_HALF_KEY));
        gate.backend.calls.get(0).fail(ResultCode.OUTCOME_UNKNOWN);
        CompletableFuture<TransferredRecords> released = gate.release(KeyRange.ALL);
        gate.timers.advanceMs(1_000);
        assertThat(released.isDone()).isFalse();
        gate.timers.advanceMs(completeAfterMs - 1_000.0);
        assertThat(released.isDone()).isTrue();
    }

    /** Guards against confusing a range with the same range under a newer fencing token. */
    @Test
    void acquireDuringARelease() {
        gate.startServing(2);
        gate.submit(gate.newPost(UPPER_HALF_KEY));
        CompletableFuture<TransferredRecords> released = gate.release(KeyRange.ALL);
        assertThat(gate.acquire(KeyRange.ALL, 1, TransferredRecords.NONE)).isCompletedExceptionally();
        assertThat(gate.acquire(KeyRange.ALL, 3, TransferredRecords.NONE)).isCompleted();
        gate.submit(gate.newPost(UPPER_HALF_KEY));
        assertThat(gate.backend.calls)
                .extracting(c -> c.backendCall.fence().value())
                .containsExactly(1L, 3L);
        assertThat(released.isDone()).isFalse();
        gate.backend.calls.get(0).succeed();
        gate.timers.runQueuedTasks();
        gate.timers.advanceMs(5);
        assertThat(released).isCompleted();
        assertThat(gate.core.status().serving()).hasSize(1);
    }

    /** Guards against grants that outlive the lease, and a gate that refuses requests after the lease was renewed. */
    @Test
    void grantsDoNotOutliveTheLease() {
        gate.startServing(2);
        gate.stopLeaseRenewal(400);
        gate.timers.advanceMs(399);
        assertThat(gate.backend.lastGrant().validityMs()).isLessThanOrEqualTo(400);
        gate.timers.advanceMs(2);
        int grants = gate.backend.grants.size();
        assertThat(codeOf(gate.submit(gate.newPost("k")))).isEqualTo(ResultCode.LEASE_LAPSED);
        gate.timers.advanceMs(5_000);
        assertThat(gate.backend.grants).hasSize(grants);
        gate.leaseRenewed = true;
        gate.timers.advanceMs(6);
        gate.submit(gate.newPost("k"));
        assertThat(gate.backend.calls).hasSize(1);
        assertThat(gate.meters.counter("crank.gate.lease.refusals").count()).isEqualTo(1);
    }

    /** Guards against grants that are renewed too late or too often. */
    @Test
    void grantsAreRenewedEveryThirdOfTheValidity() {
        gate.startServing(2);
        gate.timers.advanceMs(10_000);
        assertThat(gate.backend.grants.size()).isBetween(28, 32);
        assertThat(gate.backend.grants).extracting(Grant::sequence).isSorted();
    }

    /** Guards against grant sequence numbers that stay below those of a previous gate at the same server. */
    @Test
    void continuesAfterLargerServerSequence() {
        gate.backend.acknowledgedSequence = 700;
        gate.startServing(2);
        assertThat(gate.backend.lastGrant().sequence()).isGreaterThan(700);
        assertThat(gate.core.status().serving()).hasSize(1);
    }

    /** Guards against a failed acquire that cannot be repeated or leaves the range partly served. */
    @ParameterizedTest
    @CsvSource({"BACKEND_UNAVAILABLE, BACKEND_UNAVAILABLE", "OUTCOME_UNKNOWN, OUTCOME_UNKNOWN", ", CALL_TIMEOUT"})
    void failedAcquireMayBeRepeated(ResultCode failure, ResultCode code) {
        gate.attach(2, ALL_CAPABILITIES);
        gate.backend.grantFailure = failure;
        gate.backend.answersGrants = false;
        CompletableFuture<Void> failed = gate.acquire(LOWER_HALF, 4, TransferredRecords.NONE);
        gate.timers.advanceMs(800);
        assertThat(CrankException.of(failed.handle((v, e) -> e).join()).code()).isEqualTo(code);
        gate.backend.grantFailure = null;
        gate.backend.answersGrants = true;
        CompletableFuture<Void> repeated = gate.acquire(LOWER_HALF, 4, TransferredRecords.NONE);
        gate.timers.advanceMs(350);
        assertThat(repeated).isCompleted();
    }

    /** Guards against new requests to a draining server, and against a drain that refuses admitted requests. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void drain(boolean byRule) {
        gate.startServing(1);
        gate.submit(gate.newPost("a"));
        gate.submit(gate.newPost("b"));
        CompletableFuture<Void> drained = new CompletableFuture<>();
        if (byRule) {
            gate.backendRules = List.of(new BackendRule("desk-1", 100, true));
        } else {
            drained = gate.core.drain();
        }
        assertThat(codeOf(gate.submit(gate.newPost("c")))).isEqualTo(ResultCode.DRAINING);
        gate.timers.advanceMs(10);
        assertThat(gate.backend.drained).isFalse();
        gate.backend.calls.get(0).succeed();
        gate.timers.runQueuedTasks();
        assertThat(gate.backend.drained).isEqualTo(!byRule);
        assertThat(drained.isDone()).isFalse();
        gate.backend.calls.get(1).succeed();
        gate.timers.runQueuedTasks();
        assertThat(drained.isDone()).isEqualTo(!byRule);
    }

    /** Guards against a server that refuses all requests although its drain rule was withdrawn. */
    @Test
    void withdrawnDrainRuleEndsTheDrain() {
        gate.startServing(1);
        gate.backendRules = List.of(new BackendRule("desk-1", 100, true));
        assertThat(codeOf(gate.submit(gate.newPost("a")))).isEqualTo(ResultCode.DRAINING);
        gate.timers.advanceMs(1_000);
        assertThat(gate.backend.drained).isFalse();

        gate.backendRules = List.of();
        CompletableFuture<?> served = gate.submit(gate.newPost("b"));
        gate.timers.runQueuedTasks();
        gate.backend.calls.get(0).succeed();
        gate.timers.runQueuedTasks();
        assertThat(served).isCompleted();
        assertThat(gate.backend.calls).hasSize(1);
    }

    /** Guards against sending the full load to a cold server immediately. */
    @Test
    void concurrencyGrowsAfterAnAttach() {
        GateFixture fixture = new GateFixture(GateOptions.DEFAULTS.withSlowStartMs(1_000)).startServing(8);
        for (int i = 0; i < 8; i++) {
            fixture.submit(GateFixture.request("i" + i, "k" + i, "GET", 5_000, null, OptionalLong.empty()));
        }
        assertThat(fixture.backend.calls).hasSize(2);
        fixture.timers.advanceMs(500);
        assertThat(fixture.backend.calls).hasSize(5);
        fixture.timers.advanceMs(505);
        assertThat(fixture.backend.calls).hasSize(8);
    }

    /** Guards against load reports that miss a hot hash or contain one that is not hot. */
    @Test
    void loadsContainHotHashes() {
        gate.startServing(2);
        gate.backend.onCall = Call::succeed;
        for (int i = 0; i < 4_000; i++) {
            String key = i % 4 == 0 ? UPPER_HALF_KEY : "other" + i;
            gate.submit(GateFixture.request("l" + i, key, "GET", 1_000, null, OptionalLong.empty()));
            gate.timers.advanceMs(5);
        }
        RangeLoad load = gate.core.rangeLoads().get(0);
        assertThat(load.requestsPerSecond()).isBetween(190.0, 210.0);
        assertThat(load.hotHashes()).hasSize(1);
        assertThat(load.hotHashes().get(0).requestsPerSecond()).isBetween(45.0, 55.0);
    }

    /** Guards against an unkeyed service that requires ranges. */
    @Test
    void unkeyedServiceNeedsNoRange() {
        gate.serviceConfig = ServiceConfig.withDefaults(GateFixture.SERVICE, false);
        gate.attach(1, ALL_CAPABILITIES);
        CompletableFuture<CallerAnswer> answer = gate.submit(gate.newPost("k"));
        gate.backend.calls.get(0).succeed();
        gate.timers.runQueuedTasks();
        assertThat(codeOf(answer)).isEqualTo(ResultCode.OK);
        assertThat(gate.backend.grants).isEmpty();
    }

    private static Set<Capability> parseCapabilities(String names) {
        Set<Capability> capabilities = EnumSet.noneOf(Capability.class);
        for (String name : names.split(",")) {
            if (!name.isEmpty()) {
                capabilities.add(Capability.valueOf(name));
            }
        }
        return capabilities;
    }
}
