package org.coriandercrank.gate.internal;

import java.util.concurrent.TimeUnit;

/** Smoothed time of a call, and waiting times derived from it. Not thread safe. */
public final class ServiceTime {
    private static final double WEIGHT_OF_NEW = 0.1;
    private static final long MIN_RETRY_AFTER_MS = 10;
    private static final long MAX_RETRY_AFTER_MS = 5_000;

    private double meanNanos;

    public void onExecuted(long durationNanos) {
        meanNanos = meanNanos == 0 ? durationNanos : meanNanos + WEIGHT_OF_NEW * (durationNanos - meanNanos);
    }

    /** Smoothed time of a call; 0 until one has been measured. */
    public double meanMs() {
        return meanNanos / TimeUnit.MILLISECONDS.toNanos(1);
    }

    /** Time until a request starts that has a number of requests before it; 0 until a call has been measured. */
    public long expectedWaitMs(int requestsBefore, int concurrency) {
        return (long) (requestsBefore * meanNanos / concurrency / TimeUnit.MILLISECONDS.toNanos(1));
    }

    /** Time in which a queue of a length drains, within bounds that make sense to a caller. */
    public long retryAfterMs(int queued, int concurrency) {
        return Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, expectedWaitMs(queued + 1, concurrency)));
    }
}
