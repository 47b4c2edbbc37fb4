package org.coriandercrank.gate.internal;

import java.util.concurrent.TimeUnit;

/** Smoothed time of a call. Not thread safe. */
public final class ServiceTime {
    private static final double WEIGHT_OF_NEW = 0.1;

    private double meanNanos;

    public void onExecuted(long durationNanos) {
        meanNanos = meanNanos == 0 ? durationNanos : meanNanos + WEIGHT_OF_NEW * (durationNanos - meanNanos);
    }

    /** Smoothed time of a call; 0 until one has been measured. */
    public double meanMs() {
        return meanNanos / TimeUnit.MILLISECONDS.toNanos(1);
    }
}
