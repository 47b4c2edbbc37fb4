package org.coriandercrank.gate.internal;

import java.util.concurrent.TimeUnit;

/** Exponential moving average of the execution time of calls. Not thread safe. */
public final class ServiceTimeAverage {
    /** Weight of the latest call in the average. */
    private static final double SMOOTHING_FACTOR = 0.1;

    private double meanNanos;

    /** Adds the execution time of a call. */
    public void onExecuted(long durationNanos) {
        meanNanos = meanNanos == 0 ? durationNanos : meanNanos + SMOOTHING_FACTOR * (durationNanos - meanNanos);
    }

    /** Average in milliseconds; 0 until the first call was recorded. */
    public double meanMs() {
        return meanNanos / TimeUnit.MILLISECONDS.toNanos(1);
    }
}
