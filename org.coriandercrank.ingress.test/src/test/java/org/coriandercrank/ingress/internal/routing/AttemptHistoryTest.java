package org.coriandercrank.ingress.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.request.CallerAnswer;

/** Tests that the history permits no second execution and no unproven claim that a request did not run. */
class AttemptHistoryTest {
    /** What becomes known about an attempt, and whether it may have run. */
    enum AttemptResult {
        PENDING(true),
        NOT_HANDLED(false),
        REFUSED(false),
        EXECUTED(true),
        ANSWERED_UNKNOWN(true),
        LOST(true),
        LOST_THEN_BARRED(false),
        LOST_THEN_EXECUTED(true),
        LOST_THEN_REFUSED(false);

        private final boolean mayHaveRun;

        AttemptResult(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }

        void apply(AttemptHistory history) {
            if (name().startsWith("LOST")) {
                history.recordLostAnswer();
            }
            switch (this) {
                case NOT_HANDLED, LOST_THEN_BARRED -> history.recordNotRun();
                case REFUSED, LOST_THEN_REFUSED -> history.recordAnswer(CallerAnswer.of(ResultCode.OVERLOADED, ""));
                case EXECUTED, LOST_THEN_EXECUTED ->
                    history.recordAnswer(CallerAnswer.executed(200, List.of(), new byte[0]));
                case ANSWERED_UNKNOWN -> history.recordAnswer(CallerAnswer.of(ResultCode.OUTCOME_UNKNOWN, ""));
                case PENDING, LOST -> {}
            }
        }
    }

    @Provide
    Arbitrary<CallerAnswer> proposedAnswers() {
        return Arbitraries.of(ResultCode.values())
                .filter(code -> code != ResultCode.OK)
                .map(code -> CallerAnswer.of(code, "detail"));
    }

    /** Guards against {@code not-run} for a request that may have run, and against a second execution. */
    @Property
    void neverClaimsNotRunWithoutProofAndNeverRepeatsWithoutProof(
            @ForAll boolean repeatable,
            @ForAll List<AttemptResult> results,
            @ForAll("proposedAnswers") CallerAnswer proposed) {
        AttemptHistory history = new AttemptHistory(repeatable);
        List<AttemptResult> sentAttempts = new ArrayList<>();
        for (AttemptResult result : results) {
            if (!history.canSend()) {
                assertThatThrownBy(history::recordSend).isInstanceOf(IllegalStateException.class);
                break;
            }
            history.recordSend();
            result.apply(history);
            sentAttempts.add(result);
        }

        CallerAnswer answer = history.finalAnswer(proposed);

        boolean mayHaveRun = sentAttempts.stream().anyMatch(e -> e.mayHaveRun);
        if (mayHaveRun) {
            assertThat(answer.outcome()).isNotEqualTo(Outcome.NOT_RUN);
        } else {
            assertThat(answer).isEqualTo(proposed);
        }
        if (!repeatable) {
            assertThat(sentAttempts.stream().filter(e -> e.mayHaveRun).count()).isLessThanOrEqualTo(1);
            assertThat(sentAttempts.subList(0, Math.max(0, sentAttempts.size() - 1)))
                    .noneMatch(e -> e.mayHaveRun);
        }
    }
}
