package org.coriandercrank.gate.internal;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.coriandercrank.kernel.config.RequestRules;

/**
 * Which of two waiting requests goes first. Stateless.
 *
 * <p>The higher rank goes first. Within a rank those that can still be answered within their latency objective go before
 * those that cannot, and then the one whose objective ends first; so an overload makes some requests late and not all.
 * Requests without rules keep the order of their arrival.
 */
public final class QueueOrder {
    private QueueOrder() {}

    /** What decides about the place of a request. Immutable. */
    public record SortKey(int priority, boolean missesObjective, long objectiveDeadlineNanos) {
        /** The place of requests without rules. */
        static final SortKey DEFAULT = new SortKey(0, false, 0);

        /** Behind all others. */
        static final SortKey LAST = new SortKey(Integer.MAX_VALUE, true, 0);

        /** Whether this place is before another one; false for equal ones. */
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
     * The place of a request at a time.
     *
     * @param serviceMs expected time of the request at the server
     */
    public static SortKey sortKey(Optional<RequestRules> requestRules, long arrivedAtNanos, double serviceMs, long nowNanos) {
        if (requestRules.isEmpty()) {
            return SortKey.DEFAULT;
        }
        long objectiveDeadlineNanos =
                arrivedAtNanos + TimeUnit.MILLISECONDS.toNanos(requestRules.get().latencyObjectiveMs());
        long expectedEndNanos = nowNanos + (long) (serviceMs * TimeUnit.MILLISECONDS.toNanos(1));
        return new SortKey(requestRules.get().priority(), expectedEndNanos - objectiveDeadlineNanos > 0, objectiveDeadlineNanos);
    }

    static SortKey sortKey(Execution execution, ToDoubleFunction<Execution> serviceMs, long nowNanos) {
        return sortKey(
                execution.request().rules(), execution.arrivedAtNanos(), serviceMs.applyAsDouble(execution), nowNanos);
    }
}
