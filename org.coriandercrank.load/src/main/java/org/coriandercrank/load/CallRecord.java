package org.coriandercrank.load;

import java.util.Optional;
import org.coriandercrank.kernel.code.Outcome;

/**
 * One call of a caller. Immutable. Times are monotonic nanoseconds of the machine.
 *
 * @param operation number of the operation; attempts of one operation share it
 * @param intendedNanos when the call was due by the schedule
 * @param resultCode number of the result code, or -1 if there was no answer
 * @param outcome what the answer said; empty if there was no answer
 * @param foreignAnswer whether the body belongs to another request
 */
public record CallRecord(
        long operation,
        String requestId,
        String service,
        String key,
        String method,
        boolean repeatable,
        long intendedNanos,
        long endedNanos,
        int resultCode,
        Optional<Outcome> outcome,
        boolean foreignAnswer) {
    public static final int NO_ANSWER = -1;

    /** The same call under another operation number. */
    public CallRecord withOperation(long newOperation) {
        return new CallRecord(
                newOperation,
                requestId,
                service,
                key,
                method,
                repeatable,
                intendedNanos,
                endedNanos,
                resultCode,
                outcome,
                foreignAnswer);
    }

    public boolean succeeded() {
        return resultCode == 0;
    }
}
