package org.coriandercrank.gate.internal;

import java.util.function.LongSupplier;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.request.CallerAnswer;

/** What callers are told of calls that the backend server did not answer. Stateless. */
final class CallFailureMapper {
    private static final long BACKEND_RETRY_AFTER_MS = 200;

    private CallFailureMapper() {}

    /**
     * The answer to a failed call. Only the codes by which a backend server states that it did not execute the call mean
     * not run.
     *
     * @param retryAfterMs time after which an overloaded server has room; asked only if needed
     */
    static CallerAnswer toCallerAnswer(ResultCode failure, boolean cancelled, LongSupplier retryAfterMs) {
        return switch (failure) {
            case OVERLOADED ->
                CallerAnswer.retryLater(
                        ResultCode.OVERLOADED, "the backend server is overloaded", retryAfterMs.getAsLong());
            case FENCE_REJECTED ->
                CallerAnswer.retryLater(
                        ResultCode.FENCE_REJECTED, "the backend server rejected the fence", BACKEND_RETRY_AFTER_MS);
            case BACKEND_UNAVAILABLE ->
                CallerAnswer.retryLater(
                        ResultCode.BACKEND_UNAVAILABLE, "the backend server was not reached", BACKEND_RETRY_AFTER_MS);
            case DEADLINE_EXPIRED ->
                CallerAnswer.of(ResultCode.DEADLINE_EXPIRED, "the backend server stopped the request at its deadline");
            default ->
                CallerAnswer.of(
                        cancelled ? ResultCode.CANCELLED_RUNNING : ResultCode.OUTCOME_UNKNOWN,
                        "the answer of the backend server was lost: " + failure);
        };
    }
}
