package org.coriandercrank.ingress;

/**
 * Options of outlier detection, which excludes failing servers from load balancing. Immutable.
 *
 * @param excludeBelow a server is excluded when its smoothed success rate falls below this threshold
 * @param readmitAbove an excluded server is readmitted when its smoothed success rate rises above this threshold
 * @param smoothingFactor weight of one result in the smoothed success rate, above 0 and at most 1
 * @param minSamples number of results required before a server can be excluded
 * @param probeIntervalMs interval between probes of an excluded server; a probe is a real request of a caller
 * @param maxExcludedShare largest share of the servers of a service that can be excluded, from 0 to 0.5
 */
public record OutlierDetectionOptions(
        double excludeBelow,
        double readmitAbove,
        double smoothingFactor,
        int minSamples,
        long probeIntervalMs,
        double maxExcludedShare) {
    public static final OutlierDetectionOptions DEFAULTS = new OutlierDetectionOptions(
            /* excludeBelow= */ 0.6,
            /* readmitAbove= */ 0.9,
            /* smoothingFactor= */ 0.1,
            /* minSamples= */ 10,
            /* probeIntervalMs= */ 250,
            /* maxExcludedShare= */ 0.34);

    public OutlierDetectionOptions {
        if (!(0 <= excludeBelow && excludeBelow <= readmitAbove && readmitAbove < 1)) {
            throw new IllegalArgumentException(
                    "excludeBelow and readmitAbove must satisfy 0 <= excludeBelow <= readmitAbove < 1");
        }
        if (!(smoothingFactor > 0 && smoothingFactor <= 1)) {
            throw new IllegalArgumentException("smoothingFactor must be above 0 and at most 1");
        }
        if (minSamples < 1 || probeIntervalMs < 1) {
            throw new IllegalArgumentException("minSamples and probeIntervalMs must be at least 1");
        }
        if (!(maxExcludedShare >= 0 && maxExcludedShare <= 0.5)) {
            throw new IllegalArgumentException("maxExcludedShare must be between 0 and 0.5");
        }
    }
}
