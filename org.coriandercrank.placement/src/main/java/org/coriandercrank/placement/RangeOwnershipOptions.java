package org.coriandercrank.placement;

/**
 * Options of {@link RangeOwnership}; all times are in milliseconds. Immutable.
 *
 * @param releaseTimeoutMs timeout of one release request
 * @param minRetryDelayMs delay before a release request is repeated for the first time; doubles with each attempt
 * @param maxRetryDelayMs longest delay between release requests, and delay after a failed call to the gate
 * @param releaseGraceMs how long a range that a newer table assigns to another member stays served while that member
 *     has not requested its release
 * @param maxAnswerDelayMs how long a release request from another member waits for the release before it is answered as
 *     not released; less than {@code releaseTimeoutMs}
 * @param tickIntervalMs interval of periodic checks
 * @param maxRetainedRecords bound on the outcome records retained for the next owners of released ranges, per service
 */
public record RangeOwnershipOptions(
        long releaseTimeoutMs,
        long minRetryDelayMs,
        long maxRetryDelayMs,
        long releaseGraceMs,
        long maxAnswerDelayMs,
        long tickIntervalMs,
        int maxRetainedRecords) {
    public static final RangeOwnershipOptions DEFAULTS = new RangeOwnershipOptions(
            /* releaseTimeoutMs= */ 1_000,
            /* minRetryDelayMs= */ 10,
            /* maxRetryDelayMs= */ 500,
            /* releaseGraceMs= */ 500,
            /* maxAnswerDelayMs= */ 250,
            /* tickIntervalMs= */ 250,
            /* maxRetainedRecords= */ 100_000);

    public RangeOwnershipOptions {
        if (releaseGraceMs < 0
                || minRetryDelayMs < 1
                || maxRetryDelayMs < minRetryDelayMs
                || tickIntervalMs < 1
                || maxRetainedRecords < 0) {
            throw new IllegalArgumentException(
                    "retry delays and tickIntervalMs must be positive and ordered, other options not negative");
        }
        if (maxAnswerDelayMs < 0 || maxAnswerDelayMs >= releaseTimeoutMs) {
            throw new IllegalArgumentException("maxAnswerDelayMs must be less than releaseTimeoutMs");
        }
    }
}
