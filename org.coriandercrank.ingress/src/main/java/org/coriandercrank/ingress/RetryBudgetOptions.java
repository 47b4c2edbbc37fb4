package org.coriandercrank.ingress;

/**
 * Limits on the retries to one service. Immutable.
 *
 * @param retriesPerRequest retries that each request adds to the budget
 * @param retriesPerSecond retries that each second adds to the budget
 * @param maxSavedRetries largest number of unused retries that the budget keeps
 */
public record RetryBudgetOptions(double retriesPerRequest, double retriesPerSecond, double maxSavedRetries) {
    private static final double DEFAULT_RETRIES_PER_REQUEST = 0.1;
    private static final double DEFAULT_RETRIES_PER_SECOND = 10;
    private static final double DEFAULT_MAX_SAVED_RETRIES = 120;

    /** At 100 requests per second the budget gains 20 retries per second, so an empty budget is full after 6 s. */
    public static final RetryBudgetOptions DEFAULTS =
            new RetryBudgetOptions(DEFAULT_RETRIES_PER_REQUEST, DEFAULT_RETRIES_PER_SECOND, DEFAULT_MAX_SAVED_RETRIES);

    public RetryBudgetOptions {
        if (!(retriesPerRequest >= 0 && retriesPerSecond >= 0 && maxSavedRetries >= 0)) {
            throw new IllegalArgumentException("the limits of a retry budget must not be negative");
        }
    }
}
