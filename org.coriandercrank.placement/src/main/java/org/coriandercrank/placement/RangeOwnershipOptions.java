package org.coriandercrank.placement;

/**
 * Options of {@link RangeOwnership}. Immutable.
 *
 * @param releaseTimeoutMs time limit of one release request
 * @param minRetryDelayMs delay before a release request is repeated for the first time; doubled each time
 * @param maxRetryDelayMs longest delay between release requests, and delay after a failed call to the gate
 * @param releaseGraceMs how long a range that a table takes away is served until its new owner asks for it
 * @param maxAnswerDelayMs longest time that a release request from another member waits before it is answered as not yet
 *     released; less than {@code releaseTimeoutMs}
 * @param tickIntervalMs period of checks that need no event
 * @param maxRetainedRecords bound on outcome records kept for next owners, per service
 */
public record RangeOwnershipOptions(
        long releaseTimeoutMs,
        long minRetryDelayMs,
        long maxRetryDelayMs,
        long releaseGraceMs,
        long maxAnswerDelayMs,
        long tickIntervalMs,
        int maxRetainedRecords) {
    public static final RangeOwnershipOptions DEFAULTS =
            new RangeOwnershipOptions(1_000, 10, 500, 500, 250, 250, 100_000);

    public RangeOwnershipOptions {
        if (releaseGraceMs < 0
                || minRetryDelayMs < 1
                || maxRetryDelayMs < minRetryDelayMs
                || tickIntervalMs < 1
                || maxRetainedRecords < 0) {
            throw new IllegalArgumentException("retry delays and tick must be positive and ordered");
        }
        if (maxAnswerDelayMs < 0 || maxAnswerDelayMs >= releaseTimeoutMs) {
            throw new IllegalArgumentException("answerWaitMs must be less than releaseTimeoutMs");
        }
    }
}
