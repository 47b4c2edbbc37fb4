package org.coriandercrank.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.coriandercrank.load.Histories.execution;
import static org.coriandercrank.load.Histories.foreign;
import static org.coriandercrank.load.Histories.unanswered;
import static org.coriandercrank.load.Histories.write;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.load.Violation.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a checker that overlooks a broken promise or reports a kept one. */
class HistoryCheckerTest {
    private record Case(String name, Set<Kind> expected, List<CallRecord> calls, List<Execution> executions) {
        Case(String name, Kind expected, List<CallRecord> calls, List<Execution> executions) {
            this(name, EnumSet.of(expected), calls, executions);
        }

        Case(String name, List<CallRecord> calls, List<Execution> executions) {
            this(name, EnumSet.noneOf(Kind.class), calls, executions);
        }

        @Override
        public String toString() {
            return name;
        }
    }

    static Stream<Case> correct() {
        return Stream.of(
                new Case("nothing happened", List.of(), List.of()),
                new Case(
                        "executed, refused and unknown",
                        List.of(
                                write(1, "a", Outcome.RUN),
                                write(2, "b", Outcome.NOT_RUN),
                                write(3, "c", Outcome.UNKNOWN),
                                write(4, "d", Outcome.UNKNOWN),
                                unanswered(5, "e"),
                                unanswered(6, "f")),
                        List.of(
                                execution("s1", "a", 1, 0, 2),
                                execution("s1", "c", 1, 1, 3),
                                execution("s1", "e", 1, 3, 4))),
                new Case(
                        "moved to another server under a newer fence",
                        List.of(write(1, "a", Outcome.RUN), write(2, "b", Outcome.RUN)),
                        List.of(execution("s1", "a", 1, 0, 5), execution("s2", "b", 2, 5, 6))),
                new Case(
                        "further attempt of the router executed",
                        List.of(write(1, "a", Outcome.RUN)),
                        List.of(execution("s1", "a..2", 1, 0, 1))),
                new Case(
                        "repeat of an operation answered from the record",
                        List.of(write(1, "a", Outcome.UNKNOWN), write(1, "a-r2", Outcome.RUN)),
                        List.of(execution("s1", "a", 1, 0, 1))),
                new Case(
                        "repeat after a refusal executed",
                        List.of(write(1, "a", Outcome.NOT_RUN), write(1, "a-r2", Outcome.RUN)),
                        List.of(execution("s1", "a-r2", 1, 0, 1))),
                new Case(
                        "execution of another caller",
                        List.of(write(1, "a", Outcome.RUN)),
                        List.of(execution("s1", "a", 1, 0, 1), execution("s1", "other", 1, 0, 1))));
    }

    static Stream<Case> wrong() {
        CallRecord run = write(1, "a", Outcome.RUN);
        Execution executed = execution("s1", "a", 2, 0, 10);
        return Stream.of(
                new Case("overlap", Kind.TWO_OWNERS, List.of(run), List.of(executed, execution("s2", "b", 2, 9, 20))),
                new Case(
                        "long execution around a short one",
                        Kind.TWO_OWNERS,
                        List.of(run),
                        List.of(execution("s2", "b", 2, 4, 5), executed)),
                new Case(
                        "older fence later",
                        Kind.FENCE_WENT_BACK,
                        List.of(run),
                        List.of(executed, execution("s2", "b", 1, 11, 12))),
                new Case("same request id twice", Kind.EXECUTED_TWICE, List.of(run), List.of(executed, executed)),
                new Case(
                        "further attempt of the router as well",
                        Kind.EXECUTED_TWICE,
                        List.of(run),
                        List.of(executed, execution("s1", "a..2", 2, 1, 11))),
                new Case(
                        "repeat of the caller as well",
                        Kind.EXECUTED_TWICE,
                        List.of(write(1, "a", Outcome.UNKNOWN), write(1, "a-r2", Outcome.RUN)),
                        List.of(executed, execution("s1", "a-r2", 2, 10, 11))),
                new Case(
                        "refused",
                        Kind.NOT_RUN_BUT_EXECUTED,
                        List.of(write(1, "a", Outcome.NOT_RUN)),
                        List.of(executed)),
                new Case(
                        "refused, and a further attempt executed",
                        Kind.NOT_RUN_BUT_EXECUTED,
                        List.of(write(1, "a", Outcome.NOT_RUN)),
                        List.of(execution("s1", "a..3", 2, 0, 1))),
                new Case("no execution", Kind.RUN_BUT_NOT_EXECUTED, List.of(run), List.of()),
                new Case(
                        "only another operation executed",
                        Kind.RUN_BUT_NOT_EXECUTED,
                        List.of(run, write(2, "b", Outcome.RUN)),
                        List.of(executed)),
                new Case("foreign", Kind.FOREIGN_ANSWER, List.of(foreign(1, "a")), List.of(executed)));
    }

    @ParameterizedTest
    @MethodSource("correct")
    void acceptsCorrectHistory(Case history) {
        assertThat(HistoryChecker.check(history.calls(), history.executions())).isEmpty();
    }

    @ParameterizedTest
    @MethodSource("wrong")
    void reportsWrongHistory(Case history) {
        assertThat(HistoryChecker.check(history.calls(), history.executions()))
                .extracting(Violation::kind)
                .containsOnlyElementsOf(history.expected());
    }

    @Test
    void wrongHistoriesCoverAllKinds() {
        assertThat(wrong().flatMap(history -> history.expected().stream())).contains(Kind.values());
    }

    /** Without ledgers, an execution that is not known of is no evidence. */
    @Test
    void withoutLedgersReportsForeignAnswersOnly() {
        assertThat(HistoryChecker.checkWithoutLedgers(List.of(write(1, "a", Outcome.RUN), foreign(2, "b"))))
                .extracting(Violation::kind)
                .containsExactly(Kind.FOREIGN_ANSWER);
    }
}
