package org.coriandercrank.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.coriandercrank.load.Histories.execution;
import static org.coriandercrank.load.Histories.readWithForeignResponse;
import static org.coriandercrank.load.Histories.write;
import static org.coriandercrank.load.Histories.writeWithoutResponse;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.load.Violation.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a checker that overlooks a violation or reports one in a correct history. */
class HistoryCheckerTest {
    private record TestHistory(String name, Set<Kind> expected, List<CallRecord> calls, List<Execution> executions) {
        TestHistory(String name, Kind expected, List<CallRecord> calls, List<Execution> executions) {
            this(name, EnumSet.of(expected), calls, executions);
        }

        TestHistory(String name, List<CallRecord> calls, List<Execution> executions) {
            this(name, EnumSet.noneOf(Kind.class), calls, executions);
        }

        @Override
        public String toString() {
            return name;
        }
    }

    static Stream<TestHistory> correctHistories() {
        return Stream.of(
                new TestHistory("empty history", List.of(), List.of()),
                new TestHistory(
                        "executed, not run and unknown",
                        List.of(
                                write(1, "a", Outcome.RUN),
                                write(2, "b", Outcome.NOT_RUN),
                                write(3, "c", Outcome.UNKNOWN),
                                write(4, "d", Outcome.UNKNOWN),
                                writeWithoutResponse(5, "e"),
                                writeWithoutResponse(6, "f")),
                        List.of(
                                execution("s1", "a", 1, 0, 2),
                                execution("s1", "c", 1, 1, 3),
                                execution("s1", "e", 1, 3, 4))),
                new TestHistory(
                        "key moved to another server with a newer fencing token",
                        List.of(write(1, "a", Outcome.RUN), write(2, "b", Outcome.RUN)),
                        List.of(execution("s1", "a", 1, 0, 5), execution("s2", "b", 2, 5, 6))),
                new TestHistory(
                        "retry by the router executed",
                        List.of(write(1, "a", Outcome.RUN)),
                        List.of(execution("s1", "a..2", 1, 0, 1))),
                new TestHistory(
                        "retry by the caller answered from the outcome record",
                        List.of(write(1, "a", Outcome.UNKNOWN), write(1, "a-r2", Outcome.RUN)),
                        List.of(execution("s1", "a", 1, 0, 1))),
                new TestHistory(
                        "retry by the caller executed after not-run",
                        List.of(write(1, "a", Outcome.NOT_RUN), write(1, "a-r2", Outcome.RUN)),
                        List.of(execution("s1", "a-r2", 1, 0, 1))),
                new TestHistory(
                        "execution for another caller",
                        List.of(write(1, "a", Outcome.RUN)),
                        List.of(execution("s1", "a", 1, 0, 1), execution("s1", "other", 1, 0, 1))));
    }

    static Stream<TestHistory> violatingHistories() {
        CallRecord answeredAsRun = write(1, "a", Outcome.RUN);
        Execution executionOnS1 = execution("s1", "a", 2, 0, 10);
        return Stream.of(
                new TestHistory(
                        "overlapping executions on two servers",
                        Kind.TWO_OWNERS,
                        List.of(answeredAsRun),
                        List.of(executionOnS1, execution("s2", "b", 2, 9, 20))),
                new TestHistory(
                        "short execution during a long one on another server",
                        Kind.TWO_OWNERS,
                        List.of(answeredAsRun),
                        List.of(execution("s2", "b", 2, 4, 5), executionOnS1)),
                new TestHistory(
                        "execution with an older fencing token",
                        Kind.FENCE_WENT_BACK,
                        List.of(answeredAsRun),
                        List.of(executionOnS1, execution("s2", "b", 1, 11, 12))),
                new TestHistory(
                        "same request id executed twice",
                        Kind.EXECUTED_TWICE,
                        List.of(answeredAsRun),
                        List.of(executionOnS1, executionOnS1)),
                new TestHistory(
                        "first attempt and retry by the router executed",
                        Kind.EXECUTED_TWICE,
                        List.of(answeredAsRun),
                        List.of(executionOnS1, execution("s1", "a..2", 2, 1, 11))),
                new TestHistory(
                        "first attempt and retry by the caller executed",
                        Kind.EXECUTED_TWICE,
                        List.of(write(1, "a", Outcome.UNKNOWN), write(1, "a-r2", Outcome.RUN)),
                        List.of(executionOnS1, execution("s1", "a-r2", 2, 10, 11))),
                new TestHistory(
                        "executed after not-run",
                        Kind.NOT_RUN_BUT_EXECUTED,
                        List.of(write(1, "a", Outcome.NOT_RUN)),
                        List.of(executionOnS1)),
                new TestHistory(
                        "retry by the router executed after not-run",
                        Kind.NOT_RUN_BUT_EXECUTED,
                        List.of(write(1, "a", Outcome.NOT_RUN)),
                        List.of(execution("s1", "a..3", 2, 0, 1))),
                new TestHistory("run without execution", Kind.RUN_BUT_NOT_EXECUTED, List.of(answeredAsRun), List.of()),
                new TestHistory(
                        "run, but only another operation executed",
                        Kind.RUN_BUT_NOT_EXECUTED,
                        List.of(answeredAsRun, write(2, "b", Outcome.RUN)),
                        List.of(executionOnS1)),
                new TestHistory(
                        "response of another request",
                        Kind.FOREIGN_ANSWER,
                        List.of(readWithForeignResponse(1, "a")),
                        List.of(executionOnS1)));
    }

    @ParameterizedTest
    @MethodSource("correctHistories")
    void acceptsCorrectHistory(TestHistory history) {
        assertThat(HistoryChecker.check(history.calls(), history.executions())).isEmpty();
    }

    @ParameterizedTest
    @MethodSource("violatingHistories")
    void reportsViolations(TestHistory history) {
        assertThat(HistoryChecker.check(history.calls(), history.executions()))
                .extracting(Violation::kind)
                .containsOnlyElementsOf(history.expected());
    }

    @Test
    void violatingHistoriesCoverAllKinds() {
        assertThat(violatingHistories().flatMap(history -> history.expected().stream()))
                .contains(Kind.values());
    }

    /** Without ledgers, a missing execution is not evidence of a violation. */
    @Test
    void withoutLedgersReportsOnlyForeignAnswers() {
        assertThat(HistoryChecker.checkWithoutLedgers(
                        List.of(write(1, "a", Outcome.RUN), readWithForeignResponse(2, "b"))))
                .extracting(Violation::kind)
                .containsExactly(Kind.FOREIGN_ANSWER);
    }
}
