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
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

class RoutingTest {
    private static final Member B = TestWorld.member("b", "east", TestWorld.KEYED, MemberState.ACTIVE);
    private static final Member C = TestWorld.member("c", "east", TestWorld.KEYED, MemberState.ACTIVE);
    private static final String PATH = "/v1/cardfront/k1";

    private static TestWorld world(RoutingSnapshot snapshot) {
        return new TestWorld(snapshot, TestWorld.options(10, 10));
    }

    private static void assertResult(HttpResponse reply, ResultCode code, String outcome) {
        assertThat(reply.header("crank-result")).contains(Integer.toString(code.number()));
        assertThat(reply.header("crank-outcome")).contains(outcome);
    }

    @Test
    void sendsToTheLocalGateIfThisDaemonOwnsTheKey() {
        try (TestWorld world = world(TestWorld.ownedBy("self", 1))) {
            HttpResponse reply = world.call("GET", PATH);

            assertThat(reply.bodyText()).isEqualTo("local");
            assertThat(reply.header("crank-owner")).contains("self");
            assertThat(world.peers.forwards).isEmpty();
        }
    }

    /** Guards against more than one extra hop, or a lost request, when the table is stale. */
    @Test
    void waitsForTheNewerTableThatARefusalNames() {
        try (TestWorld world = world(TestWorld.ownedBy("b", 1, B, C))) {
            world.peers.onForward = (r, n) -> {
                if (n > 1) {
                    return FakePeers.executed();
                }
                world.timers.once(30, Runnable::run, () -> world.view.set(TestWorld.ownedBy("c", 2, B, C)));
                return FakePeers.answer(CallerAnswer.of(ResultCode.NOT_OWNER, "moved"), 2);
            };

            HttpResponse reply = world.call("POST", PATH);

            assertResult(reply, ResultCode.OK, "run");
            assertThat(reply.header("crank-owner")).contains("c");
            assertThat(world.peers.targets.stream().map(t -> t.member().value()))
                    .containsExactly("b", "c");
            assertThat(world.count("crank.ingress.extra.hops")).isEqualTo(1);
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"RANGE_MOVING", "NOT_OWNER", "LEASE_LAPSED", "DRAINING"})
    void holdsARequestWhileItsRangeMoves(ResultCode code) {
        try (TestWorld world = world(TestWorld.ownedBy("b", 1, B))) {
            world.peers.onForward =
                    (r, n) -> n < 4 ? FakePeers.answer(CallerAnswer.of(code, "not now"), 1) : FakePeers.executed();

            assertResult(world.call("POST", PATH), ResultCode.OK, "run");
            assertThat(world.peers.forwards)
                    .hasSize(4)
                    .allMatch(f -> f.request()
                            .id()
                            .equals(world.peers.forwards.get(0).request().id()));
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"RANGE_MOVING", "NOT_OWNER", "LEASE_LAPSED", "DRAINING"})
    void givesUpAfterTheHold(ResultCode code) {
        assertGivesUp(code, FakePeers.answer(CallerAnswer.of(code, "not now"), 1));
    }

    @Test
    void givesUpOnAnUnreachableOwnerAfterTheHold() {
        assertGivesUp(ResultCode.OWNER_UNREACHABLE, FakePeers.failed(ResultCode.PEER_UNREACHABLE));
    }

    private static void assertGivesUp(ResultCode code, CompletableFuture<ForwardAnswer> forwarded) {
        try (TestWorld world = world(TestWorld.ownedBy("b", 1, B))) {
            world.peers.onForward = (r, n) -> forwarded;
            long startedAtNanos = System.nanoTime();

            HttpResponse reply = world.call("POST", PATH);

            assertResult(reply, code, "not-run");
            assertThat(reply.header("retry-after")).contains("2");
            assertThat(reply.header("crank-retry-after-ms")).contains("1500");
            assertThat((System.nanoTime() - startedAtNanos) / 1_000_000).isLessThan(1_000);
            assertThat(world.peers.queries).isEmpty();
        }
    }

    static Stream<RoutingSnapshot> withoutOwner() {
        return Stream.of(
                TestWorld.ownedBy("", 1, B),
                TestWorld.ownedBy("gone", 1, B),
                TestWorld.ownedBy("c", 1, B, C.withState(MemberState.SEALED)));
    }

    @ParameterizedTest
    @MethodSource("withoutOwner")
    void waitsABoundedTimeForANewOwner(RoutingSnapshot snapshot) {
        try (TestWorld world = world(snapshot)) {
            HttpResponse refused = world.call("GET", PATH);
            world.timers.once(50, Runnable::run, () -> world.view.set(TestWorld.ownedBy("b", 2, B)));
            HttpResponse served = world.call("GET", PATH);

            assertResult(refused, ResultCode.NO_OWNER, "not-run");
            assertResult(served, ResultCode.OK, "run");
        }
    }

    /** Guards against held requests that no table can help: an owner in the other region keeps its lease there. */
    @Test
    void refusesAtOnceIfAnOwnerInTheOtherRegionIsUnreachable() {
        Member remote = TestWorld.member("r", "west", TestWorld.KEYED, MemberState.ACTIVE);
        try (TestWorld world = world(TestWorld.ownedBy("r", 1, remote))) {
            world.peers.onForward = (r, n) -> FakePeers.failed(ResultCode.PEER_UNREACHABLE);
            HttpResponse reply = world.call("GET", PATH);

            assertResult(reply, ResultCode.OWNER_UNREACHABLE, "not-run");
            assertThat(world.view.waiting()).isZero();
        }
    }

    /** Guards against retries that multiply an overload, and against {@code not-run} for the lost first attempt. */
    @Test
    void stopsRetriesWhenTheBudgetIsEmpty() {
        try (TestWorld world = new TestWorld(TestWorld.ownedBy("b", 1, B), TestWorld.options(0, 0))) {
            world.peers.onForward = (r, n) -> FakePeers.failed(ResultCode.LINK_LOST);

            assertResult(world.call("GET", PATH), ResultCode.OUTCOME_UNKNOWN, "unknown");
            assertThat(world.peers.forwards).hasSize(1);
            assertThat(world.count("crank.ingress.retry.budget.refusals")).isEqualTo(1);
        }
    }

    /** Guards against repeats beyond the budget to a server that does not hold a range: each arrives there. */
    @Test
    void repeatsOfRejectedRequestsTakeFromTheBudget() {
        try (TestWorld world = new TestWorld(TestWorld.ownedBy("b", 1, B), TestWorld.options(0, 1))) {
            world.peers.onForward =
                    (r, n) -> FakePeers.answer(CallerAnswer.of(ResultCode.FENCE_REJECTED, "not held"), 1);

            assertResult(world.call("GET", PATH), ResultCode.RETRY_BUDGET_EXHAUSTED, "not-run");
            assertThat(world.peers.forwards).hasSize(3);
        }
    }

    /** Guards against a second execution of a request that a caller repeats through another daemon. */
    @Test
    void followsTheChainOfIdsWhenAnIdIsBarred() {
        try (TestWorld world = world(TestWorld.ownedBy("b", 1, B))) {
            world.peers.onForward = (r, n) ->
                    n == 1 ? FakePeers.answer(CallerAnswer.of(ResultCode.BARRED, "barred"), 1) : FakePeers.executed();

            assertResult(world.call("POST", PATH, new Header("crank-request-id", "r1")), ResultCode.OK, "run");
            assertThat(world.peers.forwards.stream().map(f -> f.request().id().value()))
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
    void passesOtherAnswersOfTheOwnerOnAtOnce(ResultCode code) {
        try (TestWorld world = world(TestWorld.ownedBy("b", 1, B))) {
            world.peers.onForward = (r, n) -> FakePeers.answer(CallerAnswer.of(code, "final"), 1);

            assertResult(world.call("POST", PATH), code, code.outcome().headerValue());
            assertThat(world.peers.forwards).hasSize(1);
        }
    }

    @Test
    void answersAtTheDeadlineWhileAnAttemptIsOutstanding() {
        try (TestWorld world = world(TestWorld.ownedBy("b", 1, B))) {
            world.peers.onForward = (r, n) -> new CompletableFuture<>();

            HttpResponse reply = world.call("POST", PATH, new Header("crank-deadline-ms", "50"));

            assertResult(reply, ResultCode.DEADLINE_EXPIRED_RUNNING, "unknown");
            assertThat(world.peers.forwards.get(0).request().remainingMs()).isBetween(1L, 50L);
        }
    }

    @Test
    void triesAnotherServerOfABalancedServiceAfterARefusal() {
        Member x = TestWorld.member("x", "east", TestWorld.BALANCED, MemberState.ACTIVE);
        Member y = TestWorld.member("y", "east", TestWorld.BALANCED, MemberState.ACTIVE);
        Member leaving = TestWorld.member("z", "east", TestWorld.BALANCED, MemberState.LEAVING);
        try (TestWorld world = world(TestWorld.ownedBy("", 1, x, y, leaving))) {
            world.peers.onForward = (r, n) ->
                    n == 1 ? FakePeers.answer(CallerAnswer.of(ResultCode.OVERLOADED, "full"), 1) : FakePeers.executed();

            assertResult(world.call("POST", "/v1/shadebook/a"), ResultCode.OK, "run");
            assertThat(world.peers.targets.stream().map(t -> t.member().value()))
                    .containsExactlyInAnyOrder("x", "y");
        }
    }

    @Test
    void passesMessagesOfOtherDaemonsToTheLocalGate() {
        try (TestWorld world = world(TestWorld.ownedBy("self", 7))) {
            world.call("GET", PATH);
            ForwardRequest forward = new ForwardRequest(world.gate.submitted.get(0), new Generation(3));
            ForwardAnswer answer = (ForwardAnswer) world.handlers
                    .find(forward)
                    .orElseThrow()
                    .handle(new MemberId("b"), forward)
                    .join();
            CancelRequest cancel = new CancelRequest(new RequestId("r9"));
            world.handlers.find(cancel).orElseThrow().handle(new MemberId("b"), cancel);

            assertThat(answer.tableGeneration()).isEqualTo(new Generation(7));
            assertThat(answer.answer().code()).isEqualTo(ResultCode.OK);
            assertThat(world.gate.cancelled).containsExactly(new RequestId("r9"));
        }
    }
}
