package org.coriandercrank.ingress;

/**
 * Limits and timeouts of {@link Ingress}. Immutable.
 *
 * @param maxInFlight largest number of callers' requests in flight; one more is refused with {@code OVERLOADED}
 * @param maxSendsPerRequest largest number of times that one request is sent to a gate, including refused attempts
 * @param maxAttemptIdsPerRequest largest number of attempt ids of one request, see {@code docs/design/routing.md}
 * @param rangeMoveWaitMs longest time that a request waits for a newer table or while its range moves
 * @param ownerLostWaitMs longest time that a request waits while its owner is lost
 * @param backoffStepMs time to wait before a refused request is sent again for the first time; each further wait is
 *     longer by this step, up to {@code maxBackoffMs}. It is also the first interval between outcome queries; that
 *     interval doubles with each query up to the same limit.
 * @param maxBackoffMs longest time to wait between two sends or two outcome queries
 * @param outcomeQueryTimeoutMs timeout of one outcome query
 * @param answerGracePeriodMs time after the deadline in which the gate can still deliver its answer
 * @param defaultRetryAfterMs {@code Retry-After} of refusals that state none
 * @param retryBudget limits on the retries to each service
 * @param drainWriteTimeoutMs longest time that a drain waits, after the last answer, for responses to be written
 * @param outlierDetection when failing servers are excluded from load balancing
 */
public record IngressOptions(
        int maxInFlight,
        int maxSendsPerRequest,
        int maxAttemptIdsPerRequest,
        long rangeMoveWaitMs,
        long ownerLostWaitMs,
        long backoffStepMs,
        long maxBackoffMs,
        long outcomeQueryTimeoutMs,
        long answerGracePeriodMs,
        long defaultRetryAfterMs,
        RetryBudgetOptions retryBudget,
        long drainWriteTimeoutMs,
        OutlierDetectionOptions outlierDetection) {
    private static final int DEFAULT_MAX_IN_FLIGHT_REQUESTS = 8_192;
    private static final int DEFAULT_MAX_SENDS_PER_REQUEST = 24;
    private static final int DEFAULT_MAX_ATTEMPT_IDS_PER_REQUEST = 4;
    private static final long DEFAULT_RANGE_MOVE_WAIT_MS = 1_500;
    private static final long DEFAULT_OWNER_LOST_WAIT_MS = 1_000;
    private static final long DEFAULT_BACKOFF_STEP_MS = 5;
    private static final long DEFAULT_MAX_BACKOFF_MS = 100;
    private static final long DEFAULT_OUTCOME_QUERY_TIMEOUT_MS = 1_000;
    private static final long DEFAULT_ANSWER_GRACE_PERIOD_MS = 100;
    private static final long DEFAULT_RETRY_AFTER_MS = 1_000;
    private static final long DEFAULT_DRAIN_WRITE_TIMEOUT_MS = 5_000;

    public static final IngressOptions DEFAULTS = new IngressOptions(
            DEFAULT_MAX_IN_FLIGHT_REQUESTS,
            DEFAULT_MAX_SENDS_PER_REQUEST,
            DEFAULT_MAX_ATTEMPT_IDS_PER_REQUEST,
            DEFAULT_RANGE_MOVE_WAIT_MS,
            DEFAULT_OWNER_LOST_WAIT_MS,
            DEFAULT_BACKOFF_STEP_MS,
            DEFAULT_MAX_BACKOFF_MS,
            DEFAULT_OUTCOME_QUERY_TIMEOUT_MS,
            DEFAULT_ANSWER_GRACE_PERIOD_MS,
            DEFAULT_RETRY_AFTER_MS,
            RetryBudgetOptions.DEFAULTS,
            DEFAULT_DRAIN_WRITE_TIMEOUT_MS,
            OutlierDetectionOptions.DEFAULTS);

    public IngressOptions {
        if (maxInFlight < 1 || maxSendsPerRequest < 1 || maxAttemptIdsPerRequest < 1 || maxAttemptIdsPerRequest > 99) {
            throw new IllegalArgumentException(
                    "maxInFlight, maxSendsPerRequest and maxAttemptIdsPerRequest (at most 99) must be positive");
        }
        if (rangeMoveWaitMs < 0 || ownerLostWaitMs < 0 || answerGracePeriodMs < 0 || drainWriteTimeoutMs < 0) {
            throw new IllegalArgumentException("waits must not be negative");
        }
        if (backoffStepMs < 1 || maxBackoffMs < backoffStepMs || outcomeQueryTimeoutMs < 1 || defaultRetryAfterMs < 1) {
            throw new IllegalArgumentException(
                    "backoffStepMs (at most maxBackoffMs), outcomeQueryTimeoutMs and defaultRetryAfterMs must be positive");
        }
    }
}
