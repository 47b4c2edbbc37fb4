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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests the outcome that is reported to the caller after each failure of a forwarded request, for repeatable and
 * non-repeatable methods and each result of the outcome query.
 */
class OutcomeFaultTest {
    /** Results of the outcome queries of one request. {@code NONE} stands for a case without queries. */
    enum QueryResult {
        NONE,
        FINISHED,
        RUNNING,
        RUNNING_THEN_FINISHED,
        BARRED,
        RELEASED,
        UNKNOWN,
        UNREACHABLE,
        UNREACHABLE_THEN_FINISHED,
        WRONG_MEMBER;

        CompletableFuture<OutcomeAnswer> answer(int number) {
            OutcomeAnswer finished =
                    OutcomeAnswer.finished(CallerAnswer.executed(201, List.of(), "kept".getBytes(IngressFixture.UTF8)));
            return switch (this) {
                case FINISHED -> CompletableFuture.completedFuture(finished);
                case RUNNING -> CompletableFuture.completedFuture(OutcomeAnswer.of(State.RUNNING));
                case RUNNING_THEN_FINISHED ->
                    CompletableFuture.completedFuture(number < 3 ? OutcomeAnswer.of(State.RUNNING) : finished);
                case BARRED -> CompletableFuture.completedFuture(OutcomeAnswer.of(State.BARRED));
                case RELEASED -> CompletableFuture.completedFuture(OutcomeAnswer.of(State.RELEASED));
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

    record FaultCase(
            ResultCode failure,
            String method,
            QueryResult queryResult,
            ResultCode expectedCode,
            String expectedOutcome,
            int expectedStatus,
            int expectedForwards,
            boolean queryExpected) {}

    static Stream<FaultCase> cases() {
        Stream<FaultCase> notHandled = Stream.of(ResultCode.PEER_UNREACHABLE, ResultCode.WRONG_MEMBER)
                .flatMap(f -> Stream.of("GET", "POST")
                        .map(m -> new FaultCase(f, m, QueryResult.NONE, ResultCode.OK, "run", 200, 2, false)));
        Stream<FaultCase> lost = Stream.of(ResultCode.LINK_LOST, ResultCode.CALL_TIMEOUT, ResultCode.INTERNAL)
                .flatMap(f -> Stream.of(
                        new FaultCase(f, "GET", QueryResult.NONE, ResultCode.OK, "run", 200, 2, false),
                        new FaultCase(f, "POST", QueryResult.FINISHED, ResultCode.OK, "run", 201, 1, true),
                        new FaultCase(f, "POST", QueryResult.RUNNING_THEN_FINISHED, ResultCode.OK, "run", 201, 1, true),
                        new FaultCase(
                                f, "POST", QueryResult.UNREACHABLE_THEN_FINISHED, ResultCode.OK, "run", 201, 1, true),
                        new FaultCase(f, "POST", QueryResult.BARRED, ResultCode.OK, "run", 200, 2, true),
                        new FaultCase(f, "POST", QueryResult.RELEASED, ResultCode.OK, "run", 200, 2, true),
                        new FaultCase(
                                f, "POST", QueryResult.RUNNING, ResultCode.OUTCOME_UNKNOWN, "unknown", 504, 1, true),
                        new FaultCase(
                                f, "POST", QueryResult.UNKNOWN, ResultCode.OUTCOME_UNKNOWN, "unknown", 504, 1, true),
                        new FaultCase(
                                f,
                                "POST",
                                QueryResult.UNREACHABLE,
                                ResultCode.OUTCOME_UNKNOWN,
                                "unknown",
                                504,
                                1,
                                true),
                        new FaultCase(
                                f,
                                "POST",
                                QueryResult.WRONG_MEMBER,
                                ResultCode.OUTCOME_UNKNOWN,
                                "unknown",
                                504,
                                1,
                                true)));
        return Stream.concat(notHandled, lost);
    }

    @ParameterizedTest
    @MethodSource("cases")
    void reportsTheOutcomeToTheCaller(FaultCase fault) {
        try (IngressFixture fixture = new IngressFixture(
                IngressFixture.snapshotOwnedBy(
                        "b", 1, IngressFixture.member("b", "east", IngressFixture.KEYED_SERVICE, MemberState.ACTIVE)),
                IngressFixture.options(10, 10))) {
            fixture.peers.onForward = (r, n) -> n == 1 ? FakePeers.failed(fault.failure) : FakePeers.executed();
            fixture.peers.onQuery = (q, n) -> fault.queryResult.answer(n);

            HttpResponse response = fixture.send(
                    fault.method,
                    "/v1/cardfront/k1",
                    new Header("crank-deadline-ms", "400"),
                    new Header("crank-request-id", "r1"));

            assertThat(response.header("crank-result")).contains(Integer.toString(fault.expectedCode.number()));
            assertThat(response.header("crank-outcome")).contains(fault.expectedOutcome);
            assertThat(response.header("crank-request-id")).contains("r1");
            assertThat(response.status()).isEqualTo(fault.expectedStatus);
            assertThat(fixture.peers.forwards).hasSize(fault.expectedForwards);
            boolean certainlyNotHandled =
                    fault.queryResult == QueryResult.NONE && fault.failure.outcome() == Outcome.NOT_RUN;
            boolean sameIdExpected = certainlyNotHandled || fault.queryResult == QueryResult.RELEASED;
            assertThat(fixture.peers.forwards.stream()
                            .map(f -> f.request().id().value())
                            .distinct())
                    .as("a barred or possibly running id is not sent again, but the new owner gets the same id")
                    .hasSize(sameIdExpected ? 1 : fault.expectedForwards);
            assertThat(fixture.peers.queries.isEmpty()).isEqualTo(!fault.queryExpected);
            assertThat(fixture.peers.queries)
                    .allMatch(q -> q.requestId().value().equals("r1"));
        }
    }

    /**
     * A query that travels for a while reaches an owner that has grown older meanwhile. The owner then took a request
     * that its earlier process had received for one of its own time, and called it not run.
     */
    @Test
    void ageOfTheAttemptCoversTheTravelOfTheQuery() {
        IngressOptions options = IngressFixture.options(10, 10);
        try (IngressFixture fixture = new IngressFixture(
                IngressFixture.snapshotOwnedBy(
                        "b", 1, IngressFixture.member("b", "east", IngressFixture.KEYED_SERVICE, MemberState.ACTIVE)),
                options)) {
            fixture.peers.onForward = (r, n) -> FakePeers.failed(ResultCode.LINK_LOST);
            fixture.peers.onQuery =
                    (q, n) -> CompletableFuture.completedFuture(OutcomeAnswer.of(OutcomeAnswer.State.UNKNOWN));
            fixture.send("POST", "/v1/cardfront/k1", new Header("crank-deadline-ms", "400"));
            assertThat(fixture.peers.queries)
                    .singleElement()
                    .satisfies(query -> assertThat(query.sentAgoMs().orElseThrow())
                            .isGreaterThanOrEqualTo(options.outcomeQueryTimeoutMs()));
        }
    }
}
