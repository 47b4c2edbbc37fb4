package org.coriandercrank.ingress;

/**
 * Limits on the retries to one service. Immutable.
 *
 * @param retriesPerRequest retries that each request adds to the budget
 * @param retriesPerSecond retries that each second adds to the budget
 * @param maxSavedRetries largest number of unused retries that the budget of a daemon keeps
 * @param sharedSavedRetries largest number of unused retries that all daemons together keep, divided evenly among them;
 *     infinite without a common limit
 */
public record RetryBudgetOptions(
        double retriesPerRequest, double retriesPerSecond, double maxSavedRetries, double sharedSavedRetries) {
    private static final double DEFAULT_RETRIES_PER_REQUEST = 0.1;
    private static final double DEFAULT_RETRIES_PER_SECOND = 10;
    private static final double DEFAULT_MAX_SAVED_RETRIES = 120;

    /** At 100 requests per second the budget gains 20 retries per second, so an empty budget is full after 6 s. */
    public static final RetryBudgetOptions DEFAULTS = new RetryBudgetOptions(
            DEFAULT_RETRIES_PER_REQUEST,
            DEFAULT_RETRIES_PER_SECOND,
            DEFAULT_MAX_SAVED_RETRIES,
            Double.POSITIVE_INFINITY);

    public RetryBudgetOptions {
        if (!(retriesPerRequest >= 0 && retriesPerSecond >= 0 && maxSavedRetries >= 0 && sharedSavedRetries >= 0)) {
            throw new IllegalArgumentException("the limits of a retry budget must not be negative");
        }
    }

    /**
     * Returns how many unused retries the budget of one of several daemons keeps. It keeps at least one: without it, the
     * retries that requests add in fractions could never be used.
     */
    public double maxSavedRetries(int daemons) {
        return Math.max(1, Math.min(maxSavedRetries, sharedSavedRetries / Math.max(1, daemons)));
    }

    /** Returns how many retries the budget of one of several daemons starts with. */
    public double initialRetries(int daemons) {
        double savedRetries = Math.min(maxSavedRetries, sharedSavedRetries / Math.max(1, daemons));
        return savedRetries < 1 ? 0 : savedRetries;
    }
}
