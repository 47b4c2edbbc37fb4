package org.coriandercrank.gate.internal;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.request.CallerAnswer;

/** Decides whether a new request may be queued. Pure; thread safe. */
public final class Admission {
    /** How the range of a request stands at this gate. */
    public enum RangeStatus {
        SERVED,
        MOVING,
        NOT_SERVED
    }

    /**
     * What the decision rests on. Immutable.
     *
     * @param grantUnavailable whether the backend server does not take the grants that it needs
     * @param mayHaveLostRecord whether an earlier attempt with the idempotency key may have left no record
     * @param remainingMs time to the deadline
     * @param concurrencyLimit calls that the backend server may have at present
     * @param expectedWaitMs time until a slot is free for the request
     * @param expectedServiceMs expected time of the request at the server
     * @param latencyObjectiveMs time in which an answer has its full worth
     * @param overloaded whether more work arrives than the server can do
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

    /** Part of the expected service time that a fast server needs at least. */
    static final double MIN_SERVICE_TIME_SHARE = 0.5;

    private static final long MOVING_RETRY_MS = 100;
    private static final long GRANT_RETRY_MS = 200;
    private static final long DRAINING_RETRY_MS = 1_000;

    private Admission() {}

    /**
     * The refusal, or empty if the request is admitted.
     *
     * @param retryAfterMs time after which a request that is refused for load has a chance; asked only then
     */
    public static Optional<CallerAnswer> refusal(AdmissionContext context, LongSupplier retryAfterMs) {
        return refusalByState(context).or(() -> refusalByLoad(context, retryAfterMs));
    }

    private static Optional<CallerAnswer> refusalByState(AdmissionContext context) {
        if (!context.leaseValid()) {
            return retryLater(ResultCode.LEASE_LAPSED, "the lease is not valid", GRANT_RETRY_MS);
        }
        if (context.rangeStatus() == RangeStatus.MOVING) {
            return retryLater(ResultCode.RANGE_MOVING, "the range is being moved", MOVING_RETRY_MS);
        }
        if (context.rangeStatus() == RangeStatus.NOT_SERVED) {
            return Optional.of(CallerAnswer.of(ResultCode.NOT_OWNER, "the range is not served here"));
        }
        if (context.draining()) {
            return retryLater(ResultCode.DRAINING, "the server takes no new work", DRAINING_RETRY_MS);
        }
        if (context.mayHaveLostRecord()) {
            return Optional.of(CallerAnswer.of(
                    ResultCode.RECORD_LOST, "an earlier attempt with this key may have run; its record is lost"));
        }
        if (!context.backendAttached()) {
            return retryLater(ResultCode.BACKEND_UNAVAILABLE, "no backend server is attached", GRANT_RETRY_MS);
        }
        if (context.grantUnavailable()) {
            return retryLater(ResultCode.BACKEND_UNAVAILABLE, "the backend server takes no grant", GRANT_RETRY_MS);
        }
        return Optional.empty();
    }

    private static Optional<CallerAnswer> refusalByLoad(AdmissionContext context, LongSupplier retryAfterMs) {
        if (context.remainingMs() <= 0) {
            return Optional.of(CallerAnswer.of(ResultCode.DEADLINE_EXPIRED, "the deadline has passed"));
        }
        if (context.keyShareExceeded()) {
            return retryLater(ResultCode.KEY_SHARE_EXCEEDED, "the key uses more than its share", retryAfterMs.getAsLong());
        }
        boolean slotFree = context.occupiedSlots() < context.concurrencyLimit() && context.queued() == 0;
        if (!slotFree && context.queued() >= context.maxQueueLength()) {
            return retryLater(ResultCode.OVERLOADED, "the queue is full", retryAfterMs.getAsLong());
        }
        if (context.expectedWaitMs() > 0 && context.expectedWaitMs() + MIN_SERVICE_TIME_SHARE * context.expectedServiceMs() > context.remainingMs()) {
            return retryLater(ResultCode.OVERLOADED, "the deadline would pass before the answer", retryAfterMs.getAsLong());
        }
        if (context.overloaded() && context.expectedWaitMs() + context.expectedServiceMs() > context.latencyObjectiveMs()) {
            return retryLater(ResultCode.OVERLOADED, "more work arrives than can be done in time", retryAfterMs.getAsLong());
        }
        return Optional.empty();
    }

    private static Optional<CallerAnswer> retryLater(ResultCode code, String detail, long retryAfterMs) {
        return Optional.of(CallerAnswer.retryLater(code, detail, retryAfterMs));
    }
}
