package org.coriandercrank.gate.internal;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.coriandercrank.gate.internal.QueueOrder.SortKey;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.KeyHash;

/**
 * Queue of admitted requests; also tracks how many slots and queue places each key uses.
 *
 * <p>A key may use a configured share of the slots and the queue. Above this share, its requests are refused only while
 * requests of other keys wait or three quarters of the slots and the queue are in use, so a single hot key can still
 * use the whole server. Requests are started in the order of {@link QueueOrder}, but while requests of other keys wait,
 * a key whose running calls use up its share of the slots is skipped. A share of 100 percent turns this limit off. Not
 * thread safe.
 */
public final class RequestQueue {
    private static final int NEARLY_FULL_PERCENT = 75;

    /** Number of queued and running requests of a key. */
    private static final class KeyUsage {
        private int queued;
        private int running;
    }

    private final LinkedHashSet<Execution> queue = new LinkedHashSet<>();
    private final Map<KeyHash, KeyUsage> usageByHash = new HashMap<>();
    private int running;

    public int size() {
        return queue.size();
    }

    /** Whether another request of a key must be refused because the key has used up its share. */
    public boolean exceedsKeyShare(KeyHash hash, ServiceConfig config, int slots) {
        if (!config.keyed()) {
            return false;
        }
        KeyUsage usage = usageByHash.get(hash);
        if (usage == null || usage.queued + usage.running < maxPerKey(config, slots + config.maxQueueLength())) {
            return false;
        }
        boolean othersWait = queue.size() > usage.queued;
        long inUse = (long) queue.size() + running;
        boolean nearlyFull = inUse * 100 >= (long) (slots + config.maxQueueLength()) * NEARLY_FULL_PERCENT;
        return config.maxKeySharePercent() < 100 && (othersWait || nearlyFull);
    }

    /** Adds an admitted request. */
    public void add(Execution execution) {
        queue.add(execution);
        usage(execution).queued++;
    }

    /** Removes a request that was not started; returns false if it is not queued. */
    public boolean remove(Execution execution) {
        if (!queue.remove(execution)) {
            return false;
        }
        usage(execution).queued--;
        removeIfIdle(execution);
        return true;
    }

    /** Returns the queued requests that satisfy a condition, in order of arrival. */
    public List<Execution> filter(Predicate<Execution> condition) {
        return queue.stream().filter(condition).toList();
    }

    /**
     * Returns the request to be started next, which remains in the queue; empty if none may be started.
     *
     * @param expectedServiceMs returns the expected execution time of a request at the backend server
     * @param mayStart whether a request may be started beside those that run
     */
    public Optional<Execution> peek(
            ServiceConfig config,
            int concurrencyLimit,
            ToDoubleFunction<Execution> expectedServiceMs,
            Predicate<Execution> mayStart,
            long nowNanos) {
        boolean shareLimited = config.keyed() && config.maxKeySharePercent() < 100;
        int maxRunningPerKey = maxPerKey(config, concurrencyLimit);
        Predicate<Execution> withinShare = e -> !shareLimited || usage(e).running < maxRunningPerKey;
        return firstMatching(mayStart.and(withinShare), expectedServiceMs, nowNanos)
                .or(() -> firstMatching(mayStart, expectedServiceMs, nowNanos));
    }

    private Optional<Execution> firstMatching(
            Predicate<Execution> condition, ToDoubleFunction<Execution> expectedServiceMs, long nowNanos) {
        Execution best = null;
        SortKey bestKey = null;
        for (Execution execution : queue) {
            if (condition.test(execution)) {
                SortKey key = QueueOrder.sortKey(execution, expectedServiceMs, nowNanos);
                if (best == null || key.precedes(bestKey)) {
                    best = execution;
                    bestKey = key;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    /** Total expected execution time in milliseconds of the queued requests that start before one with a sort key. */
    public double workAheadMs(SortKey sortKey, ToDoubleFunction<Execution> expectedServiceMs, long nowNanos) {
        double totalMs = 0;
        for (Execution execution : queue) {
            if (!sortKey.precedes(QueueOrder.sortKey(execution, expectedServiceMs, nowNanos))) {
                totalMs += expectedServiceMs.applyAsDouble(execution);
            }
        }
        return totalMs;
    }

    /** Number of queued requests that start before one with a sort key. */
    public long requestsAhead(SortKey sortKey, ToDoubleFunction<Execution> expectedServiceMs, long nowNanos) {
        return queue.stream()
                .filter(execution -> !sortKey.precedes(QueueOrder.sortKey(execution, expectedServiceMs, nowNanos)))
                .count();
    }

    /** Moves a request from the queue to the running calls. */
    public void onStart(Execution execution) {
        if (!queue.remove(execution)) {
            throw new IllegalStateException("the request is not queued");
        }
        KeyUsage usage = usage(execution);
        usage.queued--;
        usage.running++;
        running++;
    }

    /** Records the end of a running call. */
    public void onEnd(Execution execution) {
        usage(execution).running--;
        running--;
        removeIfIdle(execution);
    }

    /** Number of slots or queue places that one key may use; at least 1. */
    private static int maxPerKey(ServiceConfig config, int total) {
        return Math.max(1, total * config.maxKeySharePercent() / 100);
    }

    private KeyUsage usage(Execution execution) {
        return usageByHash.computeIfAbsent(execution.hash(), h -> new KeyUsage());
    }

    private void removeIfIdle(Execution execution) {
        KeyUsage usage = usage(execution);
        if (usage.queued == 0 && usage.running == 0) {
            usageByHash.remove(execution.hash());
        }
    }
}
