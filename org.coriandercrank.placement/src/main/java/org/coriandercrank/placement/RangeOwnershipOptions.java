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
    private static final long DEFAULT_RELEASE_TIMEOUT_MS = 1_000;
    private static final long DEFAULT_MIN_RETRY_DELAY_MS = 10;
    private static final long DEFAULT_MAX_RETRY_DELAY_MS = 500;
    private static final long DEFAULT_RELEASE_GRACE_MS = 500;
    private static final long DEFAULT_MAX_ANSWER_DELAY_MS = 250;
    private static final long DEFAULT_TICK_INTERVAL_MS = 250;
    private static final int DEFAULT_MAX_RETAINED_RECORDS = 100_000;

    public static final RangeOwnershipOptions DEFAULTS = new RangeOwnershipOptions(
            DEFAULT_RELEASE_TIMEOUT_MS,
            DEFAULT_MIN_RETRY_DELAY_MS,
            DEFAULT_MAX_RETRY_DELAY_MS,
            DEFAULT_RELEASE_GRACE_MS,
            DEFAULT_MAX_ANSWER_DELAY_MS,
            DEFAULT_TICK_INTERVAL_MS,
            DEFAULT_MAX_RETAINED_RECORDS);

    public RangeOwnershipOptions {
        if (releaseGraceMs < 0
                || minRetryDelayMs < 1
                || maxRetryDelayMs < minRetryDelayMs
                || tickIntervalMs < 1
                || maxRetainedRecords < 0) {
            throw new IllegalArgumentException(
                    "minRetryDelayMs and tickIntervalMs must be positive, maxRetryDelayMs must be at least"
                            + " minRetryDelayMs, and releaseGraceMs and maxRetainedRecords must not be negative");
        }
        if (maxAnswerDelayMs < 0 || maxAnswerDelayMs >= releaseTimeoutMs) {
            throw new IllegalArgumentException("maxAnswerDelayMs must be less than releaseTimeoutMs");
        }
    }
}
