package org.coriandercrank.ingress;

/**
 * Bounds of retries to a service. Immutable.
 *
 * @param perRequest retries allowed per request
 * @param perSecond retries allowed per second in addition
 * @param maxSaved retries that may be saved up
 */
public record RetryRules(double perRequest, double perSecond, double maxSaved) {
    /** A tenth of the requests and ten per second; saves ten seconds' worth at 100 requests per second. */
    public static final RetryRules DEFAULTS = new RetryRules(0.1, 10, 120);

    public RetryRules {
        if (!(perRequest >= 0 && perSecond >= 0 && maxSaved >= 0)) {
            throw new IllegalArgumentException("a retry budget must not be negative");
        }
    }
}
