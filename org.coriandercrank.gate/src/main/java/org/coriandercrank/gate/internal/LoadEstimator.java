package org.coriandercrank.gate.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.coriandercrank.kernel.config.RequestRules;

/**
 * Estimates the load of a backend server: the service time per request class, whether requests arrive faster than the
 * server can execute them, and when refused callers should retry. Requests with the same rules, or without rules, form
 * a request class. The current time is a parameter of the methods. Not thread safe.
 *
 * <p>Overload is detected from the arriving work and not from the queueing time of served requests, because in a
 * priority queue requests of high priority never wait. The arriving work is smoothed, so that the requests of a short
 * burst are served late instead of being refused.
 */
public final class LoadEstimator {
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Weight of the latest interval in the smoothed arriving work. */
    private static final double LATEST_INTERVAL_WEIGHT = 0.5;

    /** Fraction of the slots that every request class is assumed to get, so that its expected wait stays finite. */
    private static final double MIN_CAPACITY_SHARE = 0.02;

    private static final long MIN_RETRY_AFTER_MS = 50;

    /** Upper bound of the retry-after time, because the load cannot be predicted for longer. */
    private static final long MAX_RETRY_AFTER_MS = 2_000;

    private final ServiceTimeAverage overallServiceTime = new ServiceTimeAverage();
    private final Map<Optional<RequestRules>, ServiceTimeAverage> serviceTimeByClass = new HashMap<>();

    /** Service time in milliseconds of the requests that arrived in the current interval, by request class. */
    private final Map<Optional<RequestRules>, Double> arrivedMsByClass = new HashMap<>();

    /** Smoothed number of slots that the arriving requests keep busy, by request class. */
    private final Map<Optional<RequestRules>, Double> busySlotsByClass = new HashMap<>();

    private long intervalEndNanos;
    /** Earliest time at which the next refused caller should retry. */
    private long nextRetryNanos;

    public LoadEstimator(long nowNanos) {
        intervalEndNanos = nowNanos + INTERVAL_NANOS;
        nextRetryNanos = nowNanos;
    }

    /** Records the arrival of a request, whether it is admitted or not. */
    public void onArrival(Optional<RequestRules> requestClass, long nowNanos) {
        advanceInterval(nowNanos);
        arrivedMsByClass.merge(requestClass, serviceMs(requestClass), Double::sum);
    }

    /** Records the execution time of a request that the backend server answered. */
    public void onExecuted(Optional<RequestRules> requestClass, long durationNanos) {
        overallServiceTime.onExecuted(durationNanos);
        serviceTimeByClass
                .computeIfAbsent(requestClass, k -> new ServiceTimeAverage())
                .onExecuted(durationNanos);
    }

    /** Smoothed execution time over all requests in milliseconds; 0 until the first one was executed. */
    public double meanMs() {
        return overallServiceTime.meanMs();
    }

    /**
     * Smoothed execution time of a request class in milliseconds; that over all requests until the first request of the
     * class was executed.
     */
    public double serviceMs(Optional<RequestRules> requestClass) {
        ServiceTimeAverage classAverage = serviceTimeByClass.get(requestClass);
        return classAverage == null ? overallServiceTime.meanMs() : classAverage.meanMs();
    }

    /**
     * Whether requests with the priority of a request class or a higher one arrive faster than the backend server can
     * execute them.
     *
     * @param usableSlots number of slots that the server can keep busy
     */
    public boolean isOverloaded(Optional<RequestRules> requestClass, double usableSlots, long nowNanos) {
        advanceInterval(nowNanos);
        return busySlots(other -> priority(other) <= priority(requestClass)) > usableSlots;
    }

    /** Number of slots that the arriving requests of some request classes keep busy. */
    private double busySlots(Predicate<Optional<RequestRules>> condition) {
        double slots = 0;
        for (Map.Entry<Optional<RequestRules>, Double> classSlots : busySlotsByClass.entrySet()) {
            slots += condition.test(classSlots.getKey()) ? classSlots.getValue() : 0;
        }
        return slots;
    }

    /** Priority of a request class; a smaller number is a higher priority, and no rules mean the highest. */
    private static int priority(Optional<RequestRules> requestClass) {
        return requestClass.map(RequestRules::priority).orElse(0);
    }

    private static long latencyObjectiveMs(Optional<RequestRules> requestClass) {
        return requestClass.map(RequestRules::latencyObjectiveMs).orElse(Long.MAX_VALUE);
    }

    /** Whether a request of one class is started before an earlier request of another class. */
    private static boolean takesPrecedence(Optional<RequestRules> requestClass, Optional<RequestRules> waitingClass) {
        return priority(requestClass) < priority(waitingClass)
                || (priority(requestClass) == priority(waitingClass)
                        && latencyObjectiveMs(requestClass) < latencyObjectiveMs(waitingClass));
    }

    /**
     * Expected time in milliseconds until a request starts.
     *
     * @param workAheadMs total service time of the queued requests that are started before it
     * @param occupiedSlots number of slots in use
     * @param concurrencyLimit number of calls that may run at a time
     * @param requestClass class of the request; it gets only the slots that classes with precedence over it leave free
     */
    public long expectedWaitMs(
            double workAheadMs, int occupiedSlots, int concurrencyLimit, Optional<RequestRules> requestClass) {
        double backlogMs = workAheadMs + (occupiedSlots + 1 - concurrencyLimit) * overallServiceTime.meanMs();
        if (backlogMs <= 0) {
            return 0;
        }
        double availableSlots = concurrencyLimit - busySlots(other -> takesPrecedence(other, requestClass));
        return (long) (backlogMs / Math.max(MIN_CAPACITY_SHARE * concurrencyLimit, availableSlots));
    }

    /**
     * Time in milliseconds after which a refused caller should retry. Each caller gets a later time than the one
     * before; the times are spaced by the rate at which the backend server can execute requests, so that the callers do
     * not retry all at once.
     *
     * @param queueDrainMs time until the currently queued requests have been started
     * @param usableSlots number of slots that the server can keep busy
     */
    public long retryAfterMs(long queueDrainMs, double usableSlots, long nowNanos) {
        long queueDrainedNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(queueDrainMs);
        long retryNanos = queueDrainedNanos - nextRetryNanos > 0 ? queueDrainedNanos : nextRetryNanos;
        long retryAfterMs = TimeUnit.NANOSECONDS.toMillis(retryNanos - nowNanos);
        if (retryAfterMs >= MAX_RETRY_AFTER_MS) {
            return MAX_RETRY_AFTER_MS;
        }
        nextRetryNanos =
                retryNanos + (long) (TimeUnit.MILLISECONDS.toNanos(1) * overallServiceTime.meanMs() / usableSlots);
        return Math.max(MIN_RETRY_AFTER_MS, retryAfterMs);
    }

    /** Starts a new interval if the current one has ended, and updates the smoothed values. */
    private void advanceInterval(long nowNanos) {
        if (nowNanos - intervalEndNanos < 0) {
            return;
        }
        double intervalMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - intervalEndNanos + INTERVAL_NANOS);
        busySlotsByClass.replaceAll((requestClass, slots) -> (1 - LATEST_INTERVAL_WEIGHT) * slots);
        arrivedMsByClass.forEach((requestClass, ms) ->
                busySlotsByClass.merge(requestClass, LATEST_INTERVAL_WEIGHT * ms / intervalMs, Double::sum));
        arrivedMsByClass.clear();
        intervalEndNanos = nowNanos + INTERVAL_NANOS;
    }
}
