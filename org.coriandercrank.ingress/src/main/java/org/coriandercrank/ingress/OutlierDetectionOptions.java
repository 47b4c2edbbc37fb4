package org.coriandercrank.ingress;

/**
 * Rules for the exclusion of servers by observed results. Immutable.
 *
 * @param excludeBelow a server whose smoothed success rate falls below this mark is excluded
 * @param readmitAbove an excluded server whose smoothed success rate rises above this mark is readmitted
 * @param smoothingFactor weight of one result in the success rate, above 0 and at most 1
 * @param minSamples results of a server before it may be excluded
 * @param probeIntervalMs time between real requests sent to an excluded server
 * @param maxExcludedShare largest share of the servers of a service that may be excluded
 */
public record OutlierDetectionOptions(
        double excludeBelow,
        double readmitAbove,
        double smoothingFactor,
        int minSamples,
        long probeIntervalMs,
        double maxExcludedShare) {
    public static final OutlierDetectionOptions DEFAULTS = new OutlierDetectionOptions(0.6, 0.9, 0.1, 10, 250, 0.34);

    public OutlierDetectionOptions {
        if (!(0 <= excludeBelow && excludeBelow <= readmitAbove && readmitAbove < 1)) {
            throw new IllegalArgumentException("need 0 <= excludeBelow <= readmitAbove < 1");
        }
        if (!(smoothingFactor > 0 && smoothingFactor <= 1)) {
            throw new IllegalArgumentException("smoothing must be above 0 and at most 1");
        }
        if (minSamples < 1 || probeIntervalMs < 1) {
            throw new IllegalArgumentException("minSamples and probeIntervalMs must be at least 1");
        }
        if (!(maxExcludedShare >= 0 && maxExcludedShare <= 0.5)) {
            throw new IllegalArgumentException("maxExcludedShare must be between 0 and 0.5");
        }
    }
}
