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
 * Waiting requests in order of arrival and the use of queue and slots by key.
 *
 * <p>Per-key share: a key may use the configured share of slots and queue. Above it, a request is refused only while
 * others wait or three quarters of slots and queue are in use, so a lone hot key still gets the whole server. Slots are
 * handed out in the order of {@link QueueOrder}, but while requests of other keys wait, a key that already has its share
 * of the running calls is passed over. A share of 100 percent is plain queue order. Not thread safe.
 */
public final class RequestQueue {
    private static final int NEAR_FULL_PERCENT = 75;

    private static final class KeyUsage {
        private int queued;
        private int running;
    }

    private final LinkedHashSet<Execution> queue = new LinkedHashSet<>();
    private final Map<KeyHash, KeyUsage> usageByHash = new HashMap<>();
    private int running;

    public int queued() {
        return queue.size();
    }

    /** Whether one more request of a key exceeds its share at a time when that harms others. */
    public boolean exceedsKeyShare(KeyHash hash, ServiceConfig config, int slots) {
        if (!config.keyed()) {
            return false;
        }
        KeyUsage usage = usageByHash.get(hash);
        if (usage == null || usage.queued + usage.running < shareOf(config, slots + config.maxQueueLength())) {
            return false;
        }
        boolean othersWait = queue.size() > usage.queued;
        long inUse = (long) queue.size() + running;
        boolean nearFull = inUse * 100 >= (long) (slots + config.maxQueueLength()) * NEAR_FULL_PERCENT;
        return config.maxKeySharePercent() < 100 && (othersWait || nearFull);
    }

    public void add(Execution execution) {
        queue.add(execution);
        usage(execution).queued++;
    }

    public boolean remove(Execution execution) {
        if (!queue.remove(execution)) {
            return false;
        }
        usage(execution).queued--;
        removeIfIdle(execution);
        return true;
    }

    /** The waiting requests that satisfy a condition, in order of arrival. */
    public List<Execution> filter(Predicate<Execution> condition) {
        return queue.stream().filter(condition).toList();
    }

    /**
     * The request that gets the next free slot; it stays in the queue.
     *
     * @param expectedServiceMs expected time of a request at the server
     */
    public Optional<Execution> peekNext(
            ServiceConfig config, int concurrencyLimit, ToDoubleFunction<Execution> expectedServiceMs, long nowNanos) {
        boolean shareLimited = config.keyed() && config.maxKeySharePercent() < 100;
        int maxRunningPerKey = shareOf(config, concurrencyLimit);
        Optional<Execution> withinShare = firstMatching(e -> !shareLimited || usage(e).running < maxRunningPerKey, expectedServiceMs, nowNanos);
        return withinShare.isPresent() ? withinShare : firstMatching(e -> true, expectedServiceMs, nowNanos);
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

    /** Service times of the waiting requests that a request at a place does not go before. */
    public double workAheadMs(SortKey sortKey, ToDoubleFunction<Execution> expectedServiceMs, long nowNanos) {
        double totalMs = 0;
        for (Execution execution : queue) {
            if (!sortKey.precedes(QueueOrder.sortKey(execution, expectedServiceMs, nowNanos))) {
                totalMs += expectedServiceMs.applyAsDouble(execution);
            }
        }
        return totalMs;
    }

    public void onStart(Execution execution) {
        if (!queue.remove(execution)) {
            throw new IllegalStateException("request is not queued");
        }
        KeyUsage usage = usage(execution);
        usage.queued--;
        usage.running++;
        running++;
    }

    public void onEnd(Execution execution) {
        usage(execution).running--;
        running--;
        removeIfIdle(execution);
    }

    private static int shareOf(ServiceConfig config, int total) {
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
