package org.coriandercrank.gate.internal;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.coriandercrank.kernel.config.RequestRules;

/**
 * Order in which queued requests are started. Stateless.
 *
 * <p>Requests are ordered by priority. Within a priority, requests that can still be answered within their latency
 * objective precede those that cannot, and then the request whose objective ends first precedes; so during overload
 * only some of the requests miss their objective. Requests without rules have the highest priority and keep their order
 * of arrival.
 */
public final class QueueOrder {
    private QueueOrder() {}

    /**
     * Sort key of a queued request. Immutable.
     *
     * @param priority priority of the request; a smaller number is a higher priority
     * @param missesObjective whether the request cannot be answered within its latency objective any more
     * @param objectiveDeadlineNanos monotonic time at which the latency objective ends
     */
    public record SortKey(int priority, boolean missesObjective, long objectiveDeadlineNanos) {
        /** Sort key of requests without rules. */
        static final SortKey DEFAULT = new SortKey(0, false, 0);

        /** Sort key that no other key follows. */
        static final SortKey LAST = new SortKey(Integer.MAX_VALUE, true, 0);

        /** Whether a request with this key is started before one with the other key; false for equal keys. */
        public boolean precedes(SortKey other) {
            if (priority != other.priority) {
                return priority < other.priority;
            }
            if (missesObjective != other.missesObjective) {
                return other.missesObjective;
            }
            return objectiveDeadlineNanos - other.objectiveDeadlineNanos < 0;
        }
    }

    /**
     * Returns the sort key of a request at a time.
     *
     * @param expectedServiceMs expected execution time of the request at the backend server
     */
    public static SortKey sortKey(
            Optional<RequestRules> requestRules, long arrivedAtNanos, double expectedServiceMs, long nowNanos) {
        if (requestRules.isEmpty()) {
            return SortKey.DEFAULT;
        }
        long objectiveDeadlineNanos = arrivedAtNanos
                + TimeUnit.MILLISECONDS.toNanos(requestRules.get().latencyObjectiveMs());
        long expectedEndNanos = nowNanos + (long) (expectedServiceMs * TimeUnit.MILLISECONDS.toNanos(1));
        return new SortKey(
                requestRules.get().priority(), expectedEndNanos - objectiveDeadlineNanos > 0, objectiveDeadlineNanos);
    }

    static SortKey sortKey(Execution execution, ToDoubleFunction<Execution> expectedServiceMs, long nowNanos) {
        return sortKey(
                execution.request().rules(),
                execution.arrivedAtNanos(),
                expectedServiceMs.applyAsDouble(execution),
                nowNanos);
    }
}
