package org.coriandercrank.gate.internal;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.request.CallerAnswer;

/** Decides whether a new request may be queued. Stateless; thread safe. */
public final class Admission {
    /** Whether this gate serves the range of a request. */
    public enum RangeStatus {
        SERVED,
        /** The range is being acquired or released. */
        MOVING,
        NOT_SERVED
    }

    /**
     * State of the gate and of one request on which the decision is based. Immutable.
     *
     * @param grantUnavailable whether the latest grant failed and the backend server has no valid earlier one
     * @param mayHaveLostRecord whether an earlier attempt with the same idempotency key may have run without a record
     * @param remainingMs time until the deadline of the request
     * @param keyShareExceeded whether the key of the request has used up its share of slots and queue at a time when
     *     that delays other keys
     * @param queued number of requests in the queue
     * @param occupiedSlots number of calls that run at the backend server
     * @param concurrencyLimit number of calls that may run at the backend server at present
     * @param expectedWaitMs expected time until a slot is free for the request
     * @param expectedServiceMs expected execution time of the request at the backend server
     * @param latencyObjectiveMs target time from arrival to answer; {@link Long#MAX_VALUE} without an objective
     * @param overloaded whether requests of this priority or a higher one arrive faster than the backend server can
     *     execute them
     */
    public record AdmissionContext(
            boolean leaseValid,
            RangeStatus rangeStatus,
            boolean draining,
            boolean backendAttached,
            boolean grantUnavailable,
            boolean mayHaveLostRecord,
            long remainingMs,
            boolean keyShareExceeded,
            int queued,
            int maxQueueLength,
            int occupiedSlots,
            int concurrencyLimit,
            long expectedWaitMs,
            long expectedServiceMs,
            long latencyObjectiveMs,
            boolean overloaded) {}

    /** Fraction of the expected execution time that every request is assumed to need at least. */
    static final double MIN_SERVICE_TIME_SHARE = 0.5;

    private static final long RANGE_MOVING_RETRY_AFTER_MS = 100;
    private static final long UNAVAILABLE_RETRY_AFTER_MS = 200;
    private static final long DRAINING_RETRY_AFTER_MS = 1_000;

    private Admission() {}

    /**
     * Returns the answer that refuses the request, or empty if the request is admitted.
     *
     * @param retryAfterMs supplies the retry-after time; called only if the request is refused because of load
     */
    public static Optional<CallerAnswer> refusal(AdmissionContext context, LongSupplier retryAfterMs) {
        return refusalByState(context).or(() -> refusalByLoad(context, retryAfterMs));
    }

    private static Optional<CallerAnswer> refusalByState(AdmissionContext context) {
        if (!context.leaseValid()) {
            return retryLater(ResultCode.LEASE_LAPSED, "the lease is not valid", UNAVAILABLE_RETRY_AFTER_MS);
        }
        if (context.rangeStatus() == RangeStatus.MOVING) {
            return retryLater(ResultCode.RANGE_MOVING, "the range is being moved", RANGE_MOVING_RETRY_AFTER_MS);
        }
        if (context.rangeStatus() == RangeStatus.NOT_SERVED) {
            return Optional.of(CallerAnswer.of(ResultCode.NOT_OWNER, "this daemon does not serve the range"));
        }
        if (context.draining()) {
            return retryLater(
                    ResultCode.DRAINING, "the server is draining and accepts no new requests", DRAINING_RETRY_AFTER_MS);
        }
        if (context.mayHaveLostRecord()) {
            return Optional.of(CallerAnswer.of(
                    ResultCode.RECORD_LOST,
                    "an earlier attempt with this idempotency key may have run, but its record is lost"));
        }
        if (!context.backendAttached()) {
            return retryLater(
                    ResultCode.BACKEND_UNAVAILABLE, "no backend server is attached", UNAVAILABLE_RETRY_AFTER_MS);
        }
        if (context.grantUnavailable()) {
            return retryLater(
                    ResultCode.BACKEND_UNAVAILABLE,
                    "the backend server did not acknowledge its grant",
                    UNAVAILABLE_RETRY_AFTER_MS);
        }
        return Optional.empty();
    }

    private static Optional<CallerAnswer> refusalByLoad(AdmissionContext context, LongSupplier retryAfterMs) {
        if (context.remainingMs() <= 0) {
            return Optional.of(CallerAnswer.of(ResultCode.DEADLINE_EXPIRED, "the deadline has passed"));
        }
        if (context.keyShareExceeded()) {
            return retryLater(
                    ResultCode.KEY_SHARE_EXCEEDED, "the key exceeds its share of the server", retryAfterMs.getAsLong());
        }
        boolean slotFree = context.occupiedSlots() < context.concurrencyLimit() && context.queued() == 0;
        if (!slotFree && context.queued() >= context.maxQueueLength()) {
            return retryLater(ResultCode.OVERLOADED, "the queue is full", retryAfterMs.getAsLong());
        }
        // A request that need not wait is admitted whatever its expected execution time is, because only executions
        // correct an expectation from a time at which the server was slow.
        if (context.expectedWaitMs() <= 0) {
            return Optional.empty();
        }
        if (context.expectedWaitMs() + MIN_SERVICE_TIME_SHARE * context.expectedServiceMs() > context.remainingMs()) {
            return retryLater(
                    ResultCode.OVERLOADED, "the deadline would expire before the answer", retryAfterMs.getAsLong());
        }
        if (context.overloaded()
                && context.expectedWaitMs() + context.expectedServiceMs() > context.latencyObjectiveMs()) {
            return retryLater(
                    ResultCode.OVERLOADED,
                    "the server is overloaded and the answer would miss its latency objective",
                    retryAfterMs.getAsLong());
        }
        return Optional.empty();
    }

    private static Optional<CallerAnswer> retryLater(ResultCode code, String detail, long retryAfterMs) {
        return Optional.of(CallerAnswer.retryLater(code, detail, retryAfterMs));
    }
}
