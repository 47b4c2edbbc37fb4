package org.coriandercrank.gate.internal;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.KeyHash;

/**
 * Waiting requests in order of arrival and the use of queue and slots by key.
 *
 * <p>Per-key share: a key may use the configured share of slots and queue. Above it, a request is refused only while
 * others wait or three quarters of slots and queue are in use, so a lone hot key still gets the whole server. Slots are handed out
 * in order of arrival, but while requests of other keys wait, a key that already has its share of the running calls is
 * passed over. A share of 100 percent is plain order of arrival. Not thread safe.
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

    /** The request that gets the next free slot; it stays in the queue. */
    public Optional<Execution> next(ServiceConfig rules, int concurrency) {
        Iterator<Execution> inOrder = queue.iterator();
        if (!inOrder.hasNext()) {
            return Optional.empty();
        }
        Execution first = inOrder.next();
        if (!rules.keyed() || rules.maxKeySharePercent() >= 100) {
            return Optional.of(first);
        }
        int share = share(rules, concurrency);
        for (Execution execution : queue) {
            if (usage(execution).running < share) {
                return Optional.of(execution);
            }
        }
        return Optional.of(first);
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
