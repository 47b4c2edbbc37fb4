package org.coriandercrank.gate.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.config.RequestRules;

/**
 * What is known of the load of a backend server: service times by kind of request, whether more work arrives than it can
 * do, and when refused callers may return. Time is an argument; not thread safe.
 *
 * <p>Overload is a queue that never empties: for a whole interval even the request that waited least waited longer than a
 * bound. A burst that the server works off within the interval is none, so its requests are served late, not refused.
 */
public final class LoadControl {
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    private static final long STANDING_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    /** Bounds of the time told to refused callers; nobody knows the load of later seconds. */
    private static final long MIN_RETRY_AFTER_MS = 50;

    private static final long MAX_RETRY_AFTER_MS = 2_000;

    private final ServiceTime all = new ServiceTime();
    private final Map<Optional<RequestRules>, ServiceTime> byKind = new HashMap<>();
    private long intervalEndNanos;
    private long leastWaitNanos = Long.MAX_VALUE;
    private boolean overloaded;
    private long nextReturnNanos;

    public LoadControl(long nowNanos) {
        intervalEndNanos = nowNanos + INTERVAL_NANOS;
        nextReturnNanos = nowNanos;
    }

    /** A request that waited was sent to the server. */
    public void onStart(long waitedNanos, long nowNanos) {
        roll(nowNanos);
        leastWaitNanos = Math.min(leastWaitNanos, waitedNanos);
    }

    /** The server answered a request. */
    public void onExecuted(Optional<RequestRules> kind, long durationNanos) {
        all.onExecuted(durationNanos);
        byKind.computeIfAbsent(kind, k -> new ServiceTime()).onExecuted(durationNanos);
    }

    /** Smoothed time of a request of any kind; 0 until one has been measured. */
    public double meanMs() {
        return all.meanMs();
    }

    /** Smoothed time of a request of a kind; that of all kinds until one of the kind has been measured. */
    public double serviceMs(Optional<RequestRules> kind) {
        ServiceTime own = byKind.get(kind);
        return own == null ? all.meanMs() : own.meanMs();
    }

    /** Whether more work arrives than the server can do. */
    public boolean isOverloaded(long nowNanos) {
        roll(nowNanos);
        return overloaded;
    }

    /**
     * Time until a request starts.
     *
     * @param aheadMs service times of the waiting requests that go before it
     * @param occupied slots in use
     */
    public long expectedWaitMs(double aheadMs, int occupied, int concurrency) {
        double excessMs = aheadMs + (occupied + 1 - concurrency) * all.meanMs();
        return excessMs <= 0 ? 0 : (long) (excessMs / concurrency);
    }

    /**
     * Time after which a refused caller may return. Callers get times one after the other, as fast as the server can take
     * them once the work that waits is done, so that they do not return together.
     */
    public long retryAfterMs(long drainMs, int concurrency, long nowNanos) {
        long drainedNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(drainMs);
        long returnNanos = drainedNanos - nextReturnNanos > 0 ? drainedNanos : nextReturnNanos;
        long afterMs = TimeUnit.NANOSECONDS.toMillis(returnNanos - nowNanos);
        if (afterMs >= MAX_RETRY_AFTER_MS) {
            nextReturnNanos = drainedNanos;
            return MAX_RETRY_AFTER_MS;
        }
        nextReturnNanos = returnNanos + (long) (TimeUnit.MILLISECONDS.toNanos(1) * all.meanMs() / concurrency);
        return Math.max(MIN_RETRY_AFTER_MS, afterMs);
    }

    private void roll(long nowNanos) {
        if (nowNanos - intervalEndNanos < 0) {
            return;
        }
        boolean started = leastWaitNanos != Long.MAX_VALUE;
        boolean recent = nowNanos - intervalEndNanos < INTERVAL_NANOS;
        overloaded = started && recent && leastWaitNanos > STANDING_WAIT_NANOS;
        leastWaitNanos = Long.MAX_VALUE;
        intervalEndNanos = nowNanos + INTERVAL_NANOS;
    }
}
