package org.coriandercrank.load;

import java.util.Optional;
import org.coriandercrank.kernel.code.Outcome;

/**
 * One call of a caller, which is an attempt of an operation, and its response. Immutable. Times are in nanoseconds of
 * the machine's monotonic clock.
 *
 * @param operation number of the operation; all attempts of one operation share it
 * @param requestId id of this attempt
 * @param key key of the request; empty for a request without key
 * @param repeatable whether the operation is idempotent, so that executing it more than once is allowed
 * @param intendedNanos time at which the call was scheduled to start
 * @param endedNanos time at which the response arrived or the call failed
 * @param resultCode number of the result code; {@link #NO_ANSWER}, -1, if the call failed without one
 * @param outcome outcome stated by the response; empty if there was no response or it stated none
 * @param foreignAnswer whether the response belongs to another request
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
    /** Stands for the result code of a call that failed without one. */
    public static final int NO_ANSWER = -1;

    /** Returns a copy of this call with another operation number. */
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
