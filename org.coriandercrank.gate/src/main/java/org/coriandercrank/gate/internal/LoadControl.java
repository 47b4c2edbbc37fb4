package org.coriandercrank.gate.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.coriandercrank.kernel.config.RequestRules;

/**
 * What is known of the load of a backend server: service times by kind of request, whether more work arrives than it can
 * do, and when refused callers may return. Time is an argument; not thread safe.
 *
 * <p>Overload is measured by the work that arrives, not by the wait of those that are served: in a queue with ranks some
 * never wait. It is smoothed, so requests of a short burst are served late and not refused.
 */
public final class LoadControl {
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Weight of the latest interval in the smoothed work. */
    private static final double NEW_WEIGHT = 0.5;

    /** Share of the server that an overtaken kind is taken to get at least, so that its wait stays finite. */
    private static final double LEAST_SHARE = 0.02;

    /** Bounds of the time told to refused callers; nobody knows the load of later seconds. */
    private static final long MIN_RETRY_AFTER_MS = 50;

    private static final long MAX_RETRY_AFTER_MS = 2_000;

    private final ServiceTime all = new ServiceTime();
    private final Map<Optional<RequestRules>, ServiceTime> byKind = new HashMap<>();
    /** Work that arrived in this interval. */
    private final Map<Optional<RequestRules>, Double> arrivedMs = new HashMap<>();

    /** Slots that the arriving work of each kind keeps busy, smoothed. */
    private final Map<Optional<RequestRules>, Double> slotsByKind = new HashMap<>();

    private long intervalEndNanos;
    private long nextReturnNanos;

    public LoadControl(long nowNanos) {
        intervalEndNanos = nowNanos + INTERVAL_NANOS;
        nextReturnNanos = nowNanos;
    }

    /** A request arrived, whether it is admitted or not. */
    public void onArrival(Optional<RequestRules> kind, long nowNanos) {
        roll(nowNanos);
        arrivedMs.merge(kind, serviceMs(kind), Double::sum);
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

    /** Whether more work of the rank of a kind and of higher ranks arrives than the server can do. */
    public boolean isOverloaded(Optional<RequestRules> kind, int concurrency, long nowNanos) {
        roll(nowNanos);
        return slots(other -> rank(other) <= rank(kind)) > concurrency;
    }

    private double slots(Predicate<Optional<RequestRules>> condition) {
        double slots = 0;
        for (Map.Entry<Optional<RequestRules>, Double> arrivals : slotsByKind.entrySet()) {
            slots += condition.test(arrivals.getKey()) ? arrivals.getValue() : 0;
        }
        return slots;
    }

    private static int rank(Optional<RequestRules> kind) {
        return kind.map(RequestRules::priority).orElse(0);
    }

    private static long objectiveMs(Optional<RequestRules> kind) {
        return kind.map(RequestRules::latencyObjectiveMs).orElse(Long.MAX_VALUE);
    }

    /** Whether requests of a kind that arrive later go before a waiting request of another kind. */
    private static boolean overtakes(Optional<RequestRules> kind, Optional<RequestRules> waiting) {
        return rank(kind) < rank(waiting) || (rank(kind) == rank(waiting) && objectiveMs(kind) < objectiveMs(waiting));
    }

    /**
     * Time until a request starts.
     *
     * @param aheadMs service times of the waiting requests that go before it
     * @param occupied slots in use
     * @param kind kind of the request; kinds that overtake it leave it only the rest of the server
     */
    public long expectedWaitMs(double aheadMs, int occupied, int concurrency, Optional<RequestRules> kind) {
        double excessMs = aheadMs + (occupied + 1 - concurrency) * all.meanMs();
        if (excessMs <= 0) {
            return 0;
        }
        double left = concurrency - slots(other -> overtakes(other, kind));
        return (long) (excessMs / Math.max(LEAST_SHARE * concurrency, left));
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
            return MAX_RETRY_AFTER_MS;
        }
        nextReturnNanos = returnNanos + (long) (TimeUnit.MILLISECONDS.toNanos(1) * all.meanMs() / concurrency);
        return Math.max(MIN_RETRY_AFTER_MS, afterMs);
    }

    private void roll(long nowNanos) {
        if (nowNanos - intervalEndNanos < 0) {
            return;
        }
        double intervalMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - intervalEndNanos + INTERVAL_NANOS);
        slotsByKind.replaceAll((kind, slots) -> (1 - NEW_WEIGHT) * slots);
        arrivedMs.forEach((kind, ms) -> slotsByKind.merge(kind, NEW_WEIGHT * ms / intervalMs, Double::sum));
        arrivedMs.clear();
        intervalEndNanos = nowNanos + INTERVAL_NANOS;
    }
}
