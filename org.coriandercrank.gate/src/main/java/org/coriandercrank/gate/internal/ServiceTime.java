package org.coriandercrank.gate.internal;

import java.util.concurrent.TimeUnit;

/** Smoothed time of a call. Not thread safe. */
public final class ServiceTime {
    private final double weightOfNew;
    private double meanNanos;
    private long calls;

    /** @param weightOfNew weight of the latest call once there were many; the first ones have equal weights */
    public ServiceTime(double weightOfNew) {
        this.weightOfNew = weightOfNew;
    }

    public void onExecuted(long durationNanos) {
        calls++;
        meanNanos += Math.max(weightOfNew, 1.0 / calls) * (durationNanos - meanNanos);
    }

    /** Smoothed time of a call; 0 until one has been measured. */
    public double meanMs() {
        return meanNanos / TimeUnit.MILLISECONDS.toNanos(1);
    }
}
