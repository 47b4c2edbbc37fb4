package org.coriandercrank.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.message.CancelRequest;
import org.coriandercrank.kernel.message.ForwardAnswer;
import org.coriandercrank.kernel.message.ForwardRequest;
import org.coriandercrank.kernel.message.OutcomeAnswer;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the choice of the target of a request, its retries and its final answer. */
class RoutingTest {
    private static final Member MEMBER_B =
            IngressFixture.member("b", "east", IngressFixture.KEYED_SERVICE, MemberState.ACTIVE);
    private static final Member MEMBER_C =
            IngressFixture.member("c", "east", IngressFixture.KEYED_SERVICE, MemberState.ACTIVE);
    private static final String PATH = "/v1/cardfront/k1";

    private static IngressFixture newFixture(RoutingSnapshot snapshot) {
        return new IngressFixture(snapshot, IngressFixture.options(10, 10));
    }

    private static void assertResult(HttpResponse response, ResultCode code, String outcome) {
        assertThat(response.header("crank-result")).contains(Integer.toString(code.number()));
        assertThat(response.header("crank-outcome")).contains(outcome);
    }

    @Test
    void sendsToTheLocalGateIfThisDaemonOwnsTheKey() {
        try (IngressFixture fixture = newFixture(IngressFixture.snapshotOwnedBy("self", 1))) {
            HttpResponse response = fixture.send("GET", PATH);

            assertThat(response.bodyText()).isEqualTo("local");
            assertThat(response.header("crank-owner")).contains("self");
            assertThat(fixture.peers.forwards).isEmpty();
        }
    }

    /** Guards against more than one extra hop, and against a lost request, if the table of this daemon is stale. */
    @Test
    void waitsForTheNewerTableThatARefusalNames() {
        try (IngressFixture fixture = newFixture(IngressFixture.snapshotOwnedBy("b", 1, MEMBER_B, MEMBER_C))) {
            fixture.peers.onForward = (r, n) -> {
                if (n > 1) {
                    return FakePeers.executed();
                }
                fixture.timers.once(
                        30,
                        Runnable::run,
                        () -> fixture.view.set(IngressFixture.snapshotOwnedBy("c", 2, MEMBER_B, MEMBER_C)));
                return FakePeers.answer(CallerAnswer.of(ResultCode.NOT_OWNER, "moved"), 2);
            };

            HttpResponse response = fixture.send("POST", PATH);

            assertResult(response, ResultCode.OK, "run");
            assertThat(response.header("crank-owner")).contains("c");
            assertThat(fixture.peers.targets.stream().map(t -> t.member().value()))
                    .containsExactly("b", "c");
            assertThat(fixture.counterValue("crank.ingress.extra.hops")).isEqualTo(1);
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"RANGE_MOVING", "NOT_OWNER", "LEASE_LAPSED", "DRAINING"})
    void resendsARequestWhileItsRangeMoves(ResultCode code) {
        try (IngressFixture fixture = newFixture(IngressFixture.snapshotOwnedBy("b", 1, MEMBER_B))) {
            fixture.peers.onForward =
                    (r, n) -> n < 4 ? FakePeers.answer(CallerAnswer.of(code, "not now"), 1) : FakePeers.executed();

            assertResult(fixture.send("POST", PATH), ResultCode.OK, "run");
            assertThat(fixture.peers.forwards)
                    .hasSize(4)
                    .allMatch(f -> f.request()
                            .id()
                            .equals(fixture.peers.forwards.get(0).request().id()));
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"RANGE_MOVING", "NOT_OWNER", "LEASE_LAPSED", "DRAINING"})
    void returnsTheRefusalAfterTheWaitLimit(ResultCode code) {
        assertRefusedAfterWaitLimit(code, FakePeers.answer(CallerAnswer.of(code, "not now"), 1));
    }

    @Test
    void returnsARefusalAfterTheWaitLimitIfTheOwnerIsUnreachable() {
        assertRefusedAfterWaitLimit(ResultCode.OWNER_UNREACHABLE, FakePeers.failed(ResultCode.PEER_UNREACHABLE));
    }

    private static void assertRefusedAfterWaitLimit(ResultCode code, CompletableFuture<ForwardAnswer> forwarded) {
        try (IngressFixture fixture = newFixture(IngressFixture.snapshotOwnedBy("b", 1, MEMBER_B))) {
            fixture.peers.onForward = (r, n) -> forwarded;
            long startedAtNanos = System.nanoTime();

            HttpResponse response = fixture.send("POST", PATH);

            assertResult(response, code, "not-run");
            assertThat(response.header("retry-after")).contains("2");
            assertThat(response.header("crank-retry-after-ms")).contains("1500");
            assertThat((System.nanoTime() - startedAtNanos) / 1_000_000).isLessThan(1_000);
            assertThat(fixture.peers.queries).isEmpty();
        }
    }

    static Stream<RoutingSnapshot> snapshotsWithoutOwner() {
        return Stream.of(
                IngressFixture.snapshotOwnedBy("", 1, MEMBER_B),
                IngressFixture.snapshotOwnedBy("gone", 1, MEMBER_B),
                IngressFixture.snapshotOwnedBy("c", 1, MEMBER_B, MEMBER_C.withState(MemberState.SEALED)));
    }

    @ParameterizedTest
    @MethodSource("snapshotsWithoutOwner")
    void waitsForANewOwnerUpToTheLimit(RoutingSnapshot snapshot) {
        try (IngressFixture fixture = newFixture(snapshot)) {
            HttpResponse refused = fixture.send("GET", PATH);
            fixture.timers.once(
                    50, Runnable::run, () -> fixture.view.set(IngressFixture.snapshotOwnedBy("b", 2, MEMBER_B)));
            HttpResponse served = fixture.send("GET", PATH);

            assertResult(refused, ResultCode.NO_OWNER, "not-run");
            assertResult(served, ResultCode.OK, "run");
        }
    }

    /**
     * Guards against waiting for a new owner that cannot appear: an unreachable owner in the other region can still
     * renew its lease there.
     */
    @Test
    void refusesImmediatelyIfAnOwnerInTheOtherRegionIsUnreachable() {
        Member remote = IngressFixture.member("r", "west", IngressFixture.KEYED_SERVICE, MemberState.ACTIVE);
        try (IngressFixture fixture = newFixture(IngressFixture.snapshotOwnedBy("r", 1, remote))) {
            fixture.peers.onForward = (r, n) -> FakePeers.failed(ResultCode.PEER_UNREACHABLE);
            HttpResponse response = fixture.send("GET", PATH);

            assertResult(response, ResultCode.OWNER_UNREACHABLE, "not-run");
            assertThat(fixture.view.pendingWaits()).isZero();
        }
    }

    /** Guards against retries that amplify an overload, and against {@code not-run} after a lost first attempt. */
    @Test
    void stopsRetriesWhenTheBudgetIsEmpty() {
        try (IngressFixture fixture =
                new IngressFixture(IngressFixture.snapshotOwnedBy("b", 1, MEMBER_B), IngressFixture.options(0, 0))) {
            fixture.peers.onForward = (r, n) -> FakePeers.failed(ResultCode.LINK_LOST);

            assertResult(fixture.send("GET", PATH), ResultCode.OUTCOME_UNKNOWN, "unknown");
            assertThat(fixture.peers.forwards).hasSize(1);
            assertThat(fixture.counterValue("crank.ingress.retry.budget.refusals"))
                    .isEqualTo(1);
        }
    }

    /**
     * Guards against refusals after many links became silent at once: a barred attempt never reached its server, so the
     * attempt that replaces it puts no additional load on the server.
     */
    @Test
    void retriesAfterBarredAttemptsUseNoRetryBudget() {
        try (IngressFixture fixture =
                new IngressFixture(IngressFixture.snapshotOwnedBy("b", 1, MEMBER_B), IngressFixture.options(0, 0))) {
            fixture.peers.onForward = (r, n) -> n == 1 ? FakePeers.failed(ResultCode.LINK_LOST) : FakePeers.executed();
            fixture.peers.onQuery =
                    (q, n) -> CompletableFuture.completedFuture(OutcomeAnswer.of(OutcomeAnswer.State.BARRED));

            assertResult(fixture.send("POST", PATH), ResultCode.OK, "run");
            assertThat(fixture.peers.forwards).hasSize(2);
        }
    }

    /**
     * Guards against unlimited resends to a server that does not hold a range, since each resend reaches the server.
     */
    @Test
    void resendsAfterFenceRejectionsUseTheRetryBudget() {
        try (IngressFixture fixture =
                new IngressFixture(IngressFixture.snapshotOwnedBy("b", 1, MEMBER_B), IngressFixture.options(0, 1))) {
            fixture.peers.onForward =
                    (r, n) -> FakePeers.answer(CallerAnswer.of(ResultCode.FENCE_REJECTED, "not held"), 1);

            assertResult(fixture.send("GET", PATH), ResultCode.RETRY_BUDGET_EXHAUSTED, "not-run");
            assertThat(fixture.peers.forwards).hasSize(3);
        }
    }

    /** Guards against a second execution of a request that the caller repeats through another daemon. */
    @Test
    void usesTheNextAttemptIdWhenAnIdIsBarred() {
        try (IngressFixture fixture = newFixture(IngressFixture.snapshotOwnedBy("b", 1, MEMBER_B))) {
            fixture.peers.onForward = (r, n) ->
                    n == 1 ? FakePeers.answer(CallerAnswer.of(ResultCode.BARRED, "barred"), 1) : FakePeers.executed();

            assertResult(fixture.send("POST", PATH, new Header("crank-request-id", "r1")), ResultCode.OK, "run");
            assertThat(fixture.peers.forwards.stream().map(f -> f.request().id().value()))
                    .containsExactly("r1", "r1..2");
        }
    }

    @ParameterizedTest
    @EnumSource(
            names = {
                "OVERLOADED",
                "KEY_SHARE_EXCEEDED",
                "BACKEND_UNAVAILABLE",
                "RECORD_LOST",
                "DUPLICATE_RUNNING",
                "IDEMPOTENCY_KEY_REUSED",
                "OUTCOME_UNKNOWN"
            })
    void returnsOtherAnswersOfTheOwnerWithoutResending(ResultCode code) {
        try (IngressFixture fixture = newFixture(IngressFixture.snapshotOwnedBy("b", 1, MEMBER_B))) {
            fixture.peers.onForward = (r, n) -> FakePeers.answer(CallerAnswer.of(code, "final"), 1);

            assertResult(fixture.send("POST", PATH), code, code.outcome().headerValue());
            assertThat(fixture.peers.forwards).hasSize(1);
        }
    }

    /** The deadline is long enough that it does not expire before the attempt on a busy machine. */
    @Test
    void answersAtTheDeadlineIfAnAttemptIsOutstanding() {
        try (IngressFixture fixture = newFixture(IngressFixture.snapshotOwnedBy("b", 1, MEMBER_B))) {
            fixture.peers.onForward = (r, n) -> new CompletableFuture<>();

            HttpResponse response = fixture.send("POST", PATH, new Header("crank-deadline-ms", "1000"));

            assertResult(response, ResultCode.DEADLINE_EXPIRED_RUNNING, "unknown");
            assertThat(fixture.peers.forwards.get(0).request().remainingMs()).isBetween(1L, 1_000L);
        }
    }

    @Test
    void triesAnotherServerOfAnUnkeyedServiceAfterARefusal() {
        Member x = IngressFixture.member("x", "east", IngressFixture.UNKEYED_SERVICE, MemberState.ACTIVE);
        Member y = IngressFixture.member("y", "east", IngressFixture.UNKEYED_SERVICE, MemberState.ACTIVE);
        Member leaving = IngressFixture.member("z", "east", IngressFixture.UNKEYED_SERVICE, MemberState.LEAVING);
        try (IngressFixture fixture = newFixture(IngressFixture.snapshotOwnedBy("", 1, x, y, leaving))) {
            fixture.peers.onForward = (r, n) ->
                    n == 1 ? FakePeers.answer(CallerAnswer.of(ResultCode.OVERLOADED, "full"), 1) : FakePeers.executed();

            assertResult(fixture.send("POST", "/v1/shadebook/a"), ResultCode.OK, "run");
            assertThat(fixture.peers.targets.stream().map(t -> t.member().value()))
                    .containsExactlyInAnyOrder("x", "y");
        }
    }

    @Test
    void passesMessagesOfOtherDaemonsToTheLocalGate() {
        try (IngressFixture fixture = newFixture(IngressFixture.snapshotOwnedBy("self", 7))) {
            fixture.send("GET", PATH);
            ForwardRequest forward = new ForwardRequest(fixture.gate.submitted.get(0), new Generation(3));
            ForwardAnswer answer = (ForwardAnswer) fixture.peerHandlers
                    .find(forward)
                    .orElseThrow()
                    .handle(new MemberId("b"), forward)
                    .join();
            CancelRequest cancel = new CancelRequest(new RequestId("r9"));
            fixture.peerHandlers.find(cancel).orElseThrow().handle(new MemberId("b"), cancel);

            assertThat(answer.tableGeneration()).isEqualTo(new Generation(7));
            assertThat(answer.answer().code()).isEqualTo(ResultCode.OK);
            assertThat(fixture.gate.cancelled).containsExactly(new RequestId("r9"));
        }
    }
}
