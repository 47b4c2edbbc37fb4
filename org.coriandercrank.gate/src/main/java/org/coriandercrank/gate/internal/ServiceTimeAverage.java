package org.coriandercrank.gate.internal;

import java.util.concurrent.TimeUnit;

/** Smoothed time of a call. Not thread safe. */
public final class ServiceTimeAverage {
    private static final double SMOOTHING_FACTOR = 0.1;

    private double meanNanos;

    public void onExecuted(long durationNanos) {
        meanNanos = meanNanos == 0 ? durationNanos : meanNanos + SMOOTHING_FACTOR * (durationNanos - meanNanos);
    }

    /** Smoothed time of a call; 0 until one has been measured. */
    public double meanMs() {
        return meanNanos / TimeUnit.MILLISECONDS.toNanos(1);
    }
}
