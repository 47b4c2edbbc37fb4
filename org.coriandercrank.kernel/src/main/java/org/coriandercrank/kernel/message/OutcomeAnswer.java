package org.coriandercrank.kernel.message;

import java.util.Optional;
import org.coriandercrank.kernel.request.CallerAnswer;

/**
 * State of a request id; answer to an {@link OutcomeQuery}. Immutable.
 *
 * @param answer the final answer, present exactly if the state is {@link State#FINISHED}
 */
public record OutcomeAnswer(State state, Optional<CallerAnswer> answer) implements Message {
    /** State of a request id at an owner gate. */
    public enum State {
        /** The request has its final answer. */
        FINISHED,
        /** The request is queued or was sent to the backend server. */
        RUNNING,
        /** The request was never admitted, and from now on the gate rejects its id. */
        BARRED,
        /**
         * The request was never admitted, the gate has released its range, and it rejects the id from now on. The
         * present owner may have seen a copy of the request, so it must be sent there under the same id.
         */
        RELEASED,
        /** The records of the gate do not go back far enough to determine the state. */
        UNKNOWN
    }

    public OutcomeAnswer {
        if (answer.isPresent() != (state == State.FINISHED)) {
            throw new IllegalArgumentException("answer must be present exactly if the state is FINISHED");
        }
    }

    public static OutcomeAnswer finished(CallerAnswer answer) {
        return new OutcomeAnswer(State.FINISHED, Optional.of(answer));
    }

    public static OutcomeAnswer of(State state) {
        return new OutcomeAnswer(state, Optional.empty());
    }
}
