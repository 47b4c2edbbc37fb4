package org.coriandercrank.gate.internal;

import java.util.function.LongSupplier;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.request.CallerAnswer;

/** Maps failed calls to the backend server to answers for callers. Stateless. */
final class CallFailureMapper {
    private static final long BACKEND_RETRY_AFTER_MS = 200;

    private CallFailureMapper() {}

    /**
     * Returns the caller's answer to a failed call. Only the codes with which a backend server states that it did not
     * execute the call become answers with outcome NOT_RUN; all others leave the outcome unknown.
     *
     * @param cancelled whether the caller asked to cancel the call
     * @param retryAfterMs supplies the retry-after time; called only if the backend server is overloaded
     */
    static CallerAnswer map(ResultCode failure, boolean cancelled, LongSupplier retryAfterMs) {
        return switch (failure) {
            case OVERLOADED ->
                CallerAnswer.retryLater(
                        ResultCode.OVERLOADED, "the backend server is overloaded", retryAfterMs.getAsLong());
            case FENCE_REJECTED ->
                CallerAnswer.retryLater(
                        ResultCode.FENCE_REJECTED,
                        "the backend server rejected the fencing token",
                        BACKEND_RETRY_AFTER_MS);
            case BACKEND_UNAVAILABLE ->
                CallerAnswer.retryLater(
                        ResultCode.BACKEND_UNAVAILABLE, "the backend server is unreachable", BACKEND_RETRY_AFTER_MS);
            case DEADLINE_EXPIRED ->
                CallerAnswer.of(ResultCode.DEADLINE_EXPIRED, "the backend server stopped the request at its deadline");
            default ->
                CallerAnswer.of(
                        cancelled ? ResultCode.CANCELLED_RUNNING : ResultCode.OUTCOME_UNKNOWN,
                        "no answer from the backend server: " + failure);
        };
    }
}
