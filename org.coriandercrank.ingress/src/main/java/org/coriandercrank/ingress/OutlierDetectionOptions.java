package org.coriandercrank.ingress;

/**
 * Options of outlier detection, which excludes failing servers from load balancing. Immutable.
 *
 * @param excludeBelowSuccessRate a server is excluded when its smoothed success rate falls below this threshold
 * @param readmitAboveSuccessRate an excluded server is readmitted when its smoothed success rate rises above this
 *     threshold
 * @param smoothingFactor weight of one result in the smoothed success rate, above 0 and at most 1
 * @param minSamples number of results required before a server can be excluded
 * @param probeIntervalMs interval between probes of an excluded server; a probe is a real request of a caller
 * @param maxExcludedShare largest share of the servers of a service that can be excluded, from 0 to 0.5
 */
public record OutlierDetectionOptions(
        double excludeBelowSuccessRate,
        double readmitAboveSuccessRate,
        double smoothingFactor,
        int minSamples,
        long probeIntervalMs,
        double maxExcludedShare) {
    private static final double DEFAULT_EXCLUDE_BELOW_SUCCESS_RATE = 0.6;
    private static final double DEFAULT_READMIT_ABOVE_SUCCESS_RATE = 0.9;
    private static final double DEFAULT_SMOOTHING_FACTOR = 0.1;
    private static final int DEFAULT_MIN_SAMPLES = 10;
    private static final long DEFAULT_PROBE_INTERVAL_MS = 250;
    private static final double DEFAULT_MAX_EXCLUDED_SHARE = 0.34;

    public static final OutlierDetectionOptions DEFAULTS = new OutlierDetectionOptions(
            DEFAULT_EXCLUDE_BELOW_SUCCESS_RATE,
            DEFAULT_READMIT_ABOVE_SUCCESS_RATE,
            DEFAULT_SMOOTHING_FACTOR,
            DEFAULT_MIN_SAMPLES,
            DEFAULT_PROBE_INTERVAL_MS,
            DEFAULT_MAX_EXCLUDED_SHARE);

    public OutlierDetectionOptions {
        if (!(0 <= excludeBelowSuccessRate
                && excludeBelowSuccessRate <= readmitAboveSuccessRate
                && readmitAboveSuccessRate < 1)) {
            throw new IllegalArgumentException(
                    "the success rates must satisfy 0 <= excludeBelowSuccessRate <= readmitAboveSuccessRate < 1");
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
