package org.coriandercrank.ingress;

/**
 * Limits of the caller side. Immutable.
 *
 * @param maxInFlight callers' requests held at the same time; one more is refused with {@code OVERLOADED}
 * @param maxSendsPerRequest sends of one request, including refused ones
 * @param maxAttemptIdsPerRequest attempt ids of one request, see {@code docs/design/routing.md}
 * @param rangeMoveWaitMs time that a request is held for a newer table or while its range moves
 * @param ownerLostWaitMs time that a request is held while its owner is lost
 * @param backoffStepMs first pause before a refused send is repeated; each further one is longer by it, up to
 *     {@code maxBackoffMs}; pauses between outcome queries double
 * @param outcomeQueryTimeoutMs time given to one outcome query
 * @param answerGracePeriodMs time after the deadline in which the exact answer of the gate is awaited
 * @param defaultRetryAfterMs {@code Retry-After} of refusals that name none
 * @param retryBudget retries allowed per service
 * @param drainWriteTimeoutMs longest time that a drain waits, after the last answer, for answers to be written
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
    public static final IngressOptions DEFAULTS = new IngressOptions(
            8_192,
            24,
            4,
            1_500,
            1_000,
            5,
            100,
            1_000,
            100,
            1_000,
            RetryBudgetOptions.DEFAULTS,
            5_000,
            OutlierDetectionOptions.DEFAULTS);

    public IngressOptions {
        if (maxInFlight < 1 || maxSendsPerRequest < 1 || maxAttemptIdsPerRequest < 1 || maxAttemptIdsPerRequest > 99) {
            throw new IllegalArgumentException("maxInFlight, maxSends and maxAttemptIds (at most 99) must be positive");
        }
        if (rangeMoveWaitMs < 0 || ownerLostWaitMs < 0 || answerGracePeriodMs < 0 || drainWriteTimeoutMs < 0) {
            throw new IllegalArgumentException("waits must not be negative");
        }
        if (backoffStepMs < 1 || maxBackoffMs < backoffStepMs || outcomeQueryTimeoutMs < 1 || defaultRetryAfterMs < 1) {
            throw new IllegalArgumentException("backoffs, queryTimeoutMs and retryAfterMs must be positive");
        }
    }
}
