package org.coriandercrank.gate.internal;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.request.CallerAnswer;

/** Decides whether a new request may be queued. Pure; thread safe. */
public final class Admission {
    /** How the range of a request stands at this gate. */
    public enum RangeStanding {
        SERVED,
        MOVING,
        NOT_SERVED
    }

    /**
     * What the decision rests on. Immutable.
     *
     * @param grantFailing whether the backend server does not take the grants that it needs
     * @param recordLost whether an earlier attempt with the idempotency key may have left no record
     * @param remainingMs time to the deadline
     * @param concurrency calls that the backend server may have at present
     * @param expectedWaitMs time until a slot is free for the request
     * @param serviceMs expected time of the request at the server
     * @param objectiveMs time in which an answer has its full worth
     * @param overloaded whether more work arrives than the server can do
     */
    public record Situation(
            boolean leaseValid,
            RangeStanding range,
            boolean draining,
            boolean backendAttached,
            boolean grantFailing,
            boolean recordLost,
            long remainingMs,
            boolean keyShareExceeded,
            int queued,
            int maxQueueLength,
            int running,
            int concurrency,
            long expectedWaitMs,
            long serviceMs,
            long objectiveMs,
            boolean overloaded) {}

    /** Part of the expected service time that a fast server needs at least. */
    static final double LEAST_SERVICE_SHARE = 0.5;

    private static final long MOVING_RETRY_MS = 100;
    private static final long GRANT_RETRY_MS = 200;
    private static final long DRAINING_RETRY_MS = 1_000;

    private Admission() {}

    /**
     * The refusal, or empty if the request is admitted.
     *
     * @param retryAfterMs time after which a request that is refused for load has a chance; asked only then
     */
    public static Optional<CallerAnswer> refusal(Situation s, LongSupplier retryAfterMs) {
        return refusalByState(s).or(() -> refusalByLoad(s, retryAfterMs));
    }

    private static Optional<CallerAnswer> refusalByState(Situation s) {
        if (!s.leaseValid()) {
            return later(ResultCode.LEASE_LAPSED, "the lease is not valid", GRANT_RETRY_MS);
        }
        if (s.range() == RangeStanding.MOVING) {
            return later(ResultCode.RANGE_MOVING, "the range is being moved", MOVING_RETRY_MS);
        }
        if (s.range() == RangeStanding.NOT_SERVED) {
            return Optional.of(CallerAnswer.of(ResultCode.NOT_OWNER, "the range is not served here"));
        }
        if (s.draining()) {
            return later(ResultCode.DRAINING, "the server takes no new work", DRAINING_RETRY_MS);
        }
        if (s.recordLost()) {
            return Optional.of(CallerAnswer.of(
                    ResultCode.RECORD_LOST, "an earlier attempt with this key may have run; its record is lost"));
        }
        if (!s.backendAttached()) {
            return later(ResultCode.BACKEND_UNAVAILABLE, "no backend server is attached", GRANT_RETRY_MS);
        }
        if (s.grantFailing()) {
            return later(ResultCode.BACKEND_UNAVAILABLE, "the backend server takes no grant", GRANT_RETRY_MS);
        }
        return Optional.empty();
    }

    private static Optional<CallerAnswer> refusalByLoad(Situation s, LongSupplier retryAfterMs) {
        if (s.remainingMs() <= 0) {
            return Optional.of(CallerAnswer.of(ResultCode.DEADLINE_EXPIRED, "the deadline has passed"));
        }
        if (s.keyShareExceeded()) {
            return later(ResultCode.KEY_SHARE_EXCEEDED, "the key uses more than its share", retryAfterMs.getAsLong());
        }
        boolean slotFree = s.running() < s.concurrency() && s.queued() == 0;
        if (!slotFree && s.queued() >= s.maxQueueLength()) {
            return later(ResultCode.OVERLOADED, "the queue is full", retryAfterMs.getAsLong());
        }
        if (s.expectedWaitMs() > 0 && s.expectedWaitMs() + LEAST_SERVICE_SHARE * s.serviceMs() > s.remainingMs()) {
            return later(ResultCode.OVERLOADED, "the deadline would pass before the answer", retryAfterMs.getAsLong());
        }
        if (s.overloaded() && s.expectedWaitMs() + s.serviceMs() > s.objectiveMs()) {
            return later(ResultCode.OVERLOADED, "more work arrives than can be done in time", retryAfterMs.getAsLong());
        }
        return Optional.empty();
    }

    private static Optional<CallerAnswer> later(ResultCode code, String detail, long retryAfterMs) {
        return Optional.of(CallerAnswer.retryLater(code, detail, retryAfterMs));
    }
}
