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

class AttemptHistoryTest {
    /** What happens to an attempt. */
    enum Event {
        NO_NEWS(true),
        NOT_HANDLED(false),
        REFUSED(false),
        EXECUTED(true),
        ANSWERED_UNKNOWN(true),
        LOST(true),
        LOST_THEN_BARRED(false),
        LOST_THEN_EXECUTED(true),
        LOST_THEN_REFUSED(false);

        private final boolean mayRun;

        Event(boolean mayRun) {
            this.mayRun = mayRun;
        }

        void apply(AttemptHistory history) {
            if (name().startsWith("LOST")) {
                history.lost();
            }
            switch (this) {
                case NOT_HANDLED, LOST_THEN_BARRED -> history.notRun();
                case REFUSED, LOST_THEN_REFUSED -> history.answered(CallerAnswer.of(ResultCode.OVERLOADED, ""));
                case EXECUTED, LOST_THEN_EXECUTED ->
                    history.answered(CallerAnswer.executed(200, List.of(), new byte[0]));
                case ANSWERED_UNKNOWN -> history.answered(CallerAnswer.of(ResultCode.OUTCOME_UNKNOWN, ""));
                case NO_NEWS, LOST -> {}
            }
        }
    }

    @Provide
    Arbitrary<CallerAnswer> proposals() {
        return Arbitraries.of(ResultCode.values())
                .filter(code -> code != ResultCode.OK)
                .map(code -> CallerAnswer.of(code, "detail"));
    }

    /** Guards against {@code not-run} for an attempt that may have run, and against a second execution. */
    @Property
    void neverClaimsNotRunWithoutProofAndNeverRepeatsWithoutProof(
            @ForAll boolean repeatable, @ForAll List<Event> events, @ForAll("proposals") CallerAnswer proposed) {
        AttemptHistory history = new AttemptHistory(repeatable);
        List<Event> sent = new ArrayList<>();
        for (Event event : events) {
            if (!history.canSend()) {
                assertThatThrownBy(history::begin).isInstanceOf(IllegalStateException.class);
                break;
            }
            history.begin();
            event.apply(history);
            sent.add(event);
        }

        CallerAnswer answer = history.finalAnswer(proposed);

        boolean mayRun = sent.stream().anyMatch(e -> e.mayRun);
        if (mayRun) {
            assertThat(answer.outcome()).isNotEqualTo(Outcome.NOT_RUN);
        } else {
            assertThat(answer).isEqualTo(proposed);
        }
        if (!repeatable) {
            assertThat(sent.stream().filter(e -> e.mayRun).count()).isLessThanOrEqualTo(1);
            assertThat(sent.subList(0, Math.max(0, sent.size() - 1))).noneMatch(e -> e.mayRun);
        }
    }
}
