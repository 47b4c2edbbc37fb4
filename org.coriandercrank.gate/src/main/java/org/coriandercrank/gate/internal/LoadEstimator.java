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
public final class LoadEstimator {
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Weight of the latest interval in the smoothed work. */
    private static final double LATEST_INTERVAL_WEIGHT = 0.5;

    /** Share of the server that an overtaken kind is taken to get at least, so that its wait stays finite. */
    private static final double MIN_CAPACITY_SHARE = 0.02;

    /** Bounds of the time told to refused callers; nobody knows the load of later seconds. */
    private static final long MIN_RETRY_AFTER_MS = 50;

    private static final long MAX_RETRY_AFTER_MS = 2_000;

    private final ServiceTimeAverage overallServiceTime = new ServiceTimeAverage();
    private final Map<Optional<RequestRules>, ServiceTimeAverage> serviceTimeByClass = new HashMap<>();
    /** Work that arrived in this interval. */
    private final Map<Optional<RequestRules>, Double> arrivedMsByClass = new HashMap<>();

    /** Slots that the arriving work of each kind keeps busy, smoothed. */
    private final Map<Optional<RequestRules>, Double> busySlotsByClass = new HashMap<>();

    private long intervalEndNanos;
    private long nextRetryNanos;

    public LoadEstimator(long nowNanos) {
        intervalEndNanos = nowNanos + INTERVAL_NANOS;
        nextRetryNanos = nowNanos;
    }

    /** A request arrived, whether it is admitted or not. */
    public void onArrival(Optional<RequestRules> requestClass, long nowNanos) {
        advanceInterval(nowNanos);
        arrivedMsByClass.merge(requestClass, serviceMs(requestClass), Double::sum);
    }

    /** The server answered a request. */
    public void onExecuted(Optional<RequestRules> requestClass, long durationNanos) {
        overallServiceTime.onExecuted(durationNanos);
        serviceTimeByClass.computeIfAbsent(requestClass, k -> new ServiceTimeAverage()).onExecuted(durationNanos);
    }

    /** Smoothed time of a request of any kind; 0 until one has been measured. */
    public double meanMs() {
        return overallServiceTime.meanMs();
    }

    /** Smoothed time of a request of a kind; that of all kinds until one of the kind has been measured. */
    public double serviceMs(Optional<RequestRules> requestClass) {
        ServiceTimeAverage classAverage = serviceTimeByClass.get(requestClass);
        return classAverage == null ? overallServiceTime.meanMs() : classAverage.meanMs();
    }

    /** Whether more work of the rank of a kind and of higher ranks arrives than the server can do. */
    public boolean isOverloaded(Optional<RequestRules> requestClass, int concurrency, long nowNanos) {
        advanceInterval(nowNanos);
        return busySlots(other -> priority(other) <= priority(requestClass)) > concurrency;
    }

    private double busySlots(Predicate<Optional<RequestRules>> condition) {
        double slots = 0;
        for (Map.Entry<Optional<RequestRules>, Double> classSlots : busySlotsByClass.entrySet()) {
            slots += condition.test(classSlots.getKey()) ? classSlots.getValue() : 0;
        }
        return slots;
    }

    private static int priority(Optional<RequestRules> requestClass) {
        return requestClass.map(RequestRules::priority).orElse(0);
    }

    private static long latencyObjectiveMs(Optional<RequestRules> requestClass) {
        return requestClass.map(RequestRules::latencyObjectiveMs).orElse(Long.MAX_VALUE);
    }

    /** Whether requests of a kind that arrive later go before a waiting request of another kind. */
    private static boolean takesPrecedence(Optional<RequestRules> requestClass, Optional<RequestRules> waitingClass) {
        return priority(requestClass) < priority(waitingClass) || (priority(requestClass) == priority(waitingClass) && latencyObjectiveMs(requestClass) < latencyObjectiveMs(waitingClass));
    }

    /**
     * Time until a request starts.
     *
     * @param workAheadMs service times of the waiting requests that go before it
     * @param occupiedSlots slots in use
     * @param requestClass kind of the request; kinds that overtake it leave it only the rest of the server
     */
    public long expectedWaitMs(double workAheadMs, int occupiedSlots, int concurrency, Optional<RequestRules> requestClass) {
        double backlogMs = workAheadMs + (occupiedSlots + 1 - concurrency) * overallServiceTime.meanMs();
        if (backlogMs <= 0) {
            return 0;
        }
        double availableSlots = concurrency - busySlots(other -> takesPrecedence(other, requestClass));
        return (long) (backlogMs / Math.max(MIN_CAPACITY_SHARE * concurrency, availableSlots));
    }

    /**
     * Time after which a refused caller may return. Callers get times one after the other, as fast as the server can take
     * them once the work that waits is done, so that they do not return together.
     */
    public long retryAfterMs(long queueDrainMs, int concurrency, long nowNanos) {
        long queueDrainedNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(queueDrainMs);
        long retryNanos = queueDrainedNanos - nextRetryNanos > 0 ? queueDrainedNanos : nextRetryNanos;
        long retryAfterMs = TimeUnit.NANOSECONDS.toMillis(retryNanos - nowNanos);
        if (retryAfterMs >= MAX_RETRY_AFTER_MS) {
            return MAX_RETRY_AFTER_MS;
        }
        nextRetryNanos = retryNanos + (long) (TimeUnit.MILLISECONDS.toNanos(1) * overallServiceTime.meanMs() / concurrency);
        return Math.max(MIN_RETRY_AFTER_MS, retryAfterMs);
    }

    private void advanceInterval(long nowNanos) {
        if (nowNanos - intervalEndNanos < 0) {
            return;
        }
        double intervalMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - intervalEndNanos + INTERVAL_NANOS);
        busySlotsByClass.replaceAll((requestClass, slots) -> (1 - LATEST_INTERVAL_WEIGHT) * slots);
        arrivedMsByClass.forEach((requestClass, ms) -> busySlotsByClass.merge(requestClass, LATEST_INTERVAL_WEIGHT * ms / intervalMs, Double::sum));
        arrivedMsByClass.clear();
        intervalEndNanos = nowNanos + INTERVAL_NANOS;
    }
}
