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
    public record Place(int priority, boolean late, long objectiveEndNanos) {
        /** The place of requests without rules. */
        static final Place NEUTRAL = new Place(0, false, 0);

        /** Behind all others. */
        static final Place LAST = new Place(Integer.MAX_VALUE, true, 0);

        /** Whether this place is before another one; false for equal ones. */
        public boolean isBefore(Place other) {
            if (priority != other.priority) {
                return priority < other.priority;
            }
            if (late != other.late) {
                return other.late;
            }
            return objectiveEndNanos - other.objectiveEndNanos < 0;
        }
    }

    /**
     * The place of a request at a time.
     *
     * @param serviceMs expected time of the request at the server
     */
    public static Place place(Optional<RequestRules> rules, long arrivedAtNanos, double serviceMs, long nowNanos) {
        if (rules.isEmpty()) {
            return Place.NEUTRAL;
        }
        long objectiveEndNanos =
                arrivedAtNanos + TimeUnit.MILLISECONDS.toNanos(rules.get().latencyObjectiveMs());
        long endNanos = nowNanos + (long) (serviceMs * TimeUnit.MILLISECONDS.toNanos(1));
        return new Place(rules.get().priority(), endNanos - objectiveEndNanos > 0, objectiveEndNanos);
    }

    static Place place(Execution execution, ToDoubleFunction<Execution> serviceMs, long nowNanos) {
        return place(
                execution.request().rules(), execution.arrivedAtNanos(), serviceMs.applyAsDouble(execution), nowNanos);
    }
}
