package org.coriandercrank.ingress;

/**
 * Bounds of retries to a service. Immutable.
 *
 * @param retriesPerRequest retries allowed per request
 * @param retriesPerSecond retries allowed per second in addition
 * @param maxSavedRetries retries that may be saved up
 */
public record RetryBudgetOptions(double retriesPerRequest, double retriesPerSecond, double maxSavedRetries) {
    /** A tenth of the requests and ten per second; saves ten seconds' worth at 100 requests per second. */
    public static final RetryBudgetOptions DEFAULTS = new RetryBudgetOptions(0.1, 10, 120);

    public RetryBudgetOptions {
        if (!(retriesPerRequest >= 0 && retriesPerSecond >= 0 && maxSavedRetries >= 0)) {
            throw new IllegalArgumentException("a retry budget must not be negative");
        }
    }
}
