package org.coriandercrank.load.internal;

/**
 * A workload. Immutable.
 *
 * @param service name of the service
 * @param keyed whether requests carry a key
 * @param writePercent share of PUT requests, which the service counts as not repeatable
 * @param hotKeys size of the hot set that changes every {@code hotChangeMs}
 * @param maxRetries further attempts of an operation that was not run or whose outcome is unknown
 */
public record LoadPlan(
        String service,
        boolean keyed,
        int ratePerSecond,
        long durationMs,
        int keys,
        double zipfExponent,
        int hotKeys,
        long hotChangeMs,
        int writePercent,
        int bodyBytes,
        long deadlineMs,
        int maxRetries,
        long seed) {}
