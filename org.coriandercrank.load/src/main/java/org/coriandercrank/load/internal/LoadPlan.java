package org.coriandercrank.load.internal;

/**
 * A workload for one service. Immutable.
 *
 * @param service name of the service
 * @param keyed whether requests have a key
 * @param ratePerSecond mean number of operations started per second
 * @param keys number of different keys
 * @param zipfExponent exponent of the Zipf distribution of keys
 * @param hotKeys number of most frequent keys; they change every {@code hotChangeMs}
 * @param writePercent share of PUT requests, which the service treats as not idempotent; the others are GET requests
 * @param bodyBytes number of bytes added to the value of a PUT request
 * @param maxRetries largest number of retries of an operation that was not run or whose outcome is unknown
 * @param seed seed of keys, arrival times, methods and targets
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
