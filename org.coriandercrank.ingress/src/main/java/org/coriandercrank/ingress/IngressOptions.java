package org.coriandercrank.ingress;

/**
 * Limits of the caller side. Immutable.
 *
 * @param maxInFlight callers' requests held at the same time; one more is refused with {@code OVERLOADED}
 * @param maxSends sends of one request, including refused ones
 * @param maxAttemptIds attempt ids of one request, see {@code docs/design/routing.md}
 * @param moveWaitMs time that a request is held for a newer table or while its range moves
 * @param ownerLostWaitMs time that a request is held while its owner is lost
 * @param backoffMs first pause before a refused send is repeated; each further one is longer by it, up to
 *     {@code maxBackoffMs}; pauses between outcome queries double
 * @param queryTimeoutMs time given to one outcome query
 * @param answerGraceMs time after the deadline in which the exact answer of the gate is awaited
 * @param retryAfterMs {@code Retry-After} of refusals that name none
 * @param retryBudget retries allowed per service
 * @param drainWriteMs longest time that a drain waits, after the last answer, for answers to be written
 */
public record IngressOptions(
        int maxInFlight,
        int maxSends,
        int maxAttemptIds,
        long moveWaitMs,
        long ownerLostWaitMs,
        long backoffMs,
        long maxBackoffMs,
        long queryTimeoutMs,
        long answerGraceMs,
        long retryAfterMs,
        RetryRules retryBudget,
        long drainWriteMs,
        HealthRules health) {
    public static final IngressOptions DEFAULTS = new IngressOptions(
            8_192, 24, 4, 1_500, 1_000, 5, 100, 1_000, 100, 1_000, RetryRules.DEFAULTS, 5_000, HealthRules.DEFAULTS);

    public IngressOptions {
        if (maxInFlight < 1 || maxSends < 1 || maxAttemptIds < 1 || maxAttemptIds > 99) {
            throw new IllegalArgumentException("maxInFlight, maxSends and maxAttemptIds (at most 99) must be positive");
        }
        if (moveWaitMs < 0 || ownerLostWaitMs < 0 || answerGraceMs < 0 || drainWriteMs < 0) {
            throw new IllegalArgumentException("waits must not be negative");
        }
        if (backoffMs < 1 || maxBackoffMs < backoffMs || queryTimeoutMs < 1 || retryAfterMs < 1) {
            throw new IllegalArgumentException("backoffs, queryTimeoutMs and retryAfterMs must be positive");
        }
    }
}
