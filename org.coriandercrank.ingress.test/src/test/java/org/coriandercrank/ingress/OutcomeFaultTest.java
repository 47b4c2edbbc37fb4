package org.coriandercrank.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.message.OutcomeAnswer;
import org.coriandercrank.kernel.message.OutcomeAnswer.State;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.kernel.table.MemberState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Each failure of a forward, for repeatable and other methods, with each answer to the outcome query. */
class OutcomeFaultTest {
    /** Result of outcome queries. */
    enum Query {
        NONE,
        FINISHED,
        RUNNING,
        RUNNING_THEN_FINISHED,
        BARRED,
        UNKNOWN,
        UNREACHABLE,
        UNREACHABLE_THEN_FINISHED,
        WRONG_MEMBER;

        CompletableFuture<OutcomeAnswer> answer(int number) {
            OutcomeAnswer finished =
                    OutcomeAnswer.finished(CallerAnswer.executed(201, List.of(), "kept".getBytes(TestWorld.UTF8)));
            return switch (this) {
                case FINISHED -> CompletableFuture.completedFuture(finished);
                case RUNNING -> CompletableFuture.completedFuture(OutcomeAnswer.of(State.RUNNING));
                case RUNNING_THEN_FINISHED ->
                    CompletableFuture.completedFuture(number < 3 ? OutcomeAnswer.of(State.RUNNING) : finished);
                case BARRED -> CompletableFuture.completedFuture(OutcomeAnswer.of(State.BARRED));
                case UNKNOWN -> CompletableFuture.completedFuture(OutcomeAnswer.of(State.UNKNOWN));
                case UNREACHABLE -> FakePeers.failed(ResultCode.PEER_UNREACHABLE);
                case UNREACHABLE_THEN_FINISHED ->
                    number < 3
                            ? FakePeers.failed(ResultCode.PEER_UNREACHABLE)
                            : CompletableFuture.completedFuture(finished);
                case WRONG_MEMBER -> FakePeers.failed(ResultCode.WRONG_MEMBER);
                case NONE -> throw new IllegalStateException("no outcome query expected");
            };
        }
    }

    record Case(
            ResultCode failure,
            String method,
            Query query,
            ResultCode code,
            String outcome,
            int status,
            int forwards,
            boolean queried) {}

    static Stream<Case> cases() {
        Stream<Case> notHandled = Stream.of(ResultCode.PEER_UNREACHABLE, ResultCode.WRONG_MEMBER)
                .flatMap(f -> Stream.of("GET", "POST")
                        .map(m -> new Case(f, m, Query.NONE, ResultCode.OK, "run", 200, 2, false)));
        Stream<Case> lost = Stream.of(ResultCode.LINK_LOST, ResultCode.CALL_TIMEOUT, ResultCode.INTERNAL)
                .flatMap(f -> Stream.of(
                        new Case(f, "GET", Query.NONE, ResultCode.OK, "run", 200, 2, false),
                        new Case(f, "POST", Query.FINISHED, ResultCode.OK, "run", 201, 1, true),
                        new Case(f, "POST", Query.RUNNING_THEN_FINISHED, ResultCode.OK, "run", 201, 1, true),
                        new Case(f, "POST", Query.UNREACHABLE_THEN_FINISHED, ResultCode.OK, "run", 201, 1, true),
                        new Case(f, "POST", Query.BARRED, ResultCode.OK, "run", 200, 2, true),
                        new Case(f, "POST", Query.RUNNING, ResultCode.OUTCOME_UNKNOWN, "unknown", 504, 1, true),
                        new Case(f, "POST", Query.UNKNOWN, ResultCode.OUTCOME_UNKNOWN, "unknown", 504, 1, true),
                        new Case(f, "POST", Query.UNREACHABLE, ResultCode.OUTCOME_UNKNOWN, "unknown", 504, 1, true),
                        new Case(f, "POST", Query.WRONG_MEMBER, ResultCode.OUTCOME_UNKNOWN, "unknown", 504, 1, true)));
        return Stream.concat(notHandled, lost);
    }

    @ParameterizedTest
    @MethodSource("cases")
    void tellsTheCallerWhatBecameOfTheRequest(Case fault) {
        try (TestWorld world = new TestWorld(
                TestWorld.ownedBy("b", 1, TestWorld.member("b", "east", TestWorld.KEYED, MemberState.ACTIVE)),
                TestWorld.options(10, 10))) {
            world.peers.onForward = (r, n) -> n == 1 ? FakePeers.failed(fault.failure) : FakePeers.executed();
            world.peers.onQuery = (q, n) -> fault.query.answer(n);

            HttpResponse reply = world.call(
                    fault.method,
                    "/v1/cardfront/k1",
                    new Header("crank-deadline-ms", "400"),
                    new Header("crank-request-id", "r1"));

            assertThat(reply.header("crank-result")).contains(Integer.toString(fault.code.number()));
            assertThat(reply.header("crank-outcome")).contains(fault.outcome);
            assertThat(reply.header("crank-request-id")).contains("r1");
            assertThat(reply.status()).isEqualTo(fault.status);
            assertThat(world.peers.forwards).hasSize(fault.forwards);
            boolean certainlyNotHandled = fault.query == Query.NONE && fault.failure.outcome() == Outcome.NOT_RUN;
            assertThat(world.peers.forwards.stream()
                            .map(f -> f.request().id().value())
                            .distinct())
                    .as("a barred or possibly running id is not sent again")
                    .hasSize(certainlyNotHandled ? 1 : fault.forwards);
            assertThat(world.peers.queries.isEmpty()).isEqualTo(!fault.queried);
            assertThat(world.peers.queries).allMatch(q -> q.requestId().value().equals("r1"));
        }
    }
}
