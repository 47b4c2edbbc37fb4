package org.coriandercrank.gate.internal;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.coriandercrank.gate.internal.QueueOrder.Place;
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
public final class WorkQueue {
    private static final int NEAR_FULL_PERCENT = 75;

    private static final class Usage {
        private int queued;
        private int running;
    }

    private final LinkedHashSet<Execution> queue = new LinkedHashSet<>();
    private final Map<KeyHash, Usage> usageByHash = new HashMap<>();
    private int running;

    public int queued() {
        return queue.size();
    }

    /** Whether one more request of a key exceeds its share at a time when that harms others. */
    public boolean exceedsKeyShare(KeyHash hash, ServiceConfig rules, int slots) {
        if (!rules.keyed()) {
            return false;
        }
        Usage usage = usageByHash.get(hash);
        if (usage == null || usage.queued + usage.running < share(rules, slots + rules.maxQueueLength())) {
            return false;
        }
        boolean othersWait = queue.size() > usage.queued;
        long inUse = (long) queue.size() + running;
        boolean nearFull = inUse * 100 >= (long) (slots + rules.maxQueueLength()) * NEAR_FULL_PERCENT;
        return rules.maxKeySharePercent() < 100 && (othersWait || nearFull);
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
        forgetIfIdle(execution);
        return true;
    }

    /** The waiting requests that satisfy a condition, in order of arrival. */
    public List<Execution> matching(Predicate<Execution> condition) {
        return queue.stream().filter(condition).toList();
    }

    /**
     * The request that gets the next free slot; it stays in the queue.
     *
     * @param serviceMs expected time of a request at the server
     */
    public Optional<Execution> next(
            ServiceConfig rules, int concurrency, ToDoubleFunction<Execution> serviceMs, long nowNanos) {
        boolean shares = rules.keyed() && rules.maxKeySharePercent() < 100;
        int share = share(rules, concurrency);
        Optional<Execution> withinShare = first(e -> !shares || usage(e).running < share, serviceMs, nowNanos);
        return withinShare.isPresent() ? withinShare : first(e -> true, serviceMs, nowNanos);
    }

    private Optional<Execution> first(
            Predicate<Execution> condition, ToDoubleFunction<Execution> serviceMs, long nowNanos) {
        Execution best = null;
        Place bestPlace = null;
        for (Execution execution : queue) {
            if (condition.test(execution)) {
                Place place = QueueOrder.place(execution, serviceMs, nowNanos);
                if (best == null || place.isBefore(bestPlace)) {
                    best = execution;
                    bestPlace = place;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    /** Service times of the waiting requests that a request at a place does not go before. */
    public double aheadMs(Place place, ToDoubleFunction<Execution> serviceMs, long nowNanos) {
        double sum = 0;
        for (Execution execution : queue) {
            if (!place.isBefore(QueueOrder.place(execution, serviceMs, nowNanos))) {
                sum += serviceMs.applyAsDouble(execution);
            }
        }
        return sum;
    }

    public void onStart(Execution execution) {
        if (!queue.remove(execution)) {
            throw new IllegalStateException("request is not queued");
        }
        Usage usage = usage(execution);
        usage.queued--;
        usage.running++;
        running++;
    }

    public void onEnd(Execution execution) {
        usage(execution).running--;
        running--;
        forgetIfIdle(execution);
    }

    private static int share(ServiceConfig rules, int total) {
        return Math.max(1, total * rules.maxKeySharePercent() / 100);
    }

    private Usage usage(Execution execution) {
        return usageByHash.computeIfAbsent(execution.hash(), h -> new Usage());
    }

    private void forgetIfIdle(Execution execution) {
        Usage usage = usage(execution);
        if (usage.queued == 0 && usage.running == 0) {
            usageByHash.remove(execution.hash());
        }
    }
}
