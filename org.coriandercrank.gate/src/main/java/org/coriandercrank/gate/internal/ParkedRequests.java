package org.coriandercrank.gate.internal;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.coriandercrank.gate.internal.Execution.Waiter;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.request.CallerRequest;

/**
 * Requests whose range is assigned to this member and not held by the backend server yet. They wait here, so that callers'
 * daemons need not repeat them while a range moves. Bounded by number and time; not thread safe.
 */
final class ParkedRequests {
    /** A request that waits for its range. Immutable. */
    record Parked(CallerRequest request, KeyHash hash, Waiter waiter, long untilNanos) {}

    private final GateRuntime runtime;
    private final RangeTable ranges;
    private final Map<RequestId, Parked> parked = new LinkedHashMap<>();

    ParkedRequests(GateRuntime runtime, RangeTable ranges) {
        this.runtime = runtime;
        this.ranges = ranges;
    }

    /** Parks a request if its range is to be served here soon and there is room. */
    boolean park(CallerRequest request, KeyHash hash, Waiter waiter, long nowNanos) {
        boolean room = parked.size() < runtime.options().maxParkedRequests();
        if (!room || isServed(hash) || !isAssigned(hash)) {
            return false;
        }
        long longestNanos =
                nowNanos + TimeUnit.MILLISECONDS.toNanos(runtime.options().parkTimeoutMs());
        long untilNanos = longestNanos - waiter.deadlineNanos() < 0 ? longestNanos : waiter.deadlineNanos();
        parked.put(waiter.id(), new Parked(request, hash, waiter, untilNanos));
        return true;
    }

    private boolean isServed(KeyHash hash) {
        return ranges.serving(hash).filter(entry -> !entry.isRejected()).isPresent();
    }

    private boolean isAssigned(KeyHash hash) {
        RoutingSnapshot routing = runtime.routing();
        return routing.table(runtime.inputs().service())
                .flatMap(table -> table.find(hash))
                .map(assignment -> assignment.owner().equals(routing.self()))
                .orElse(false);
    }

    boolean contains(RequestId id) {
        return parked.containsKey(id);
    }

    Optional<Parked> take(RequestId id) {
        return Optional.ofNullable(parked.remove(id));
    }

    /** Removes and returns the requests whose range is served now, in order of arrival. */
    List<Parked> takeServed() {
        return take(p -> isServed(p.hash()));
    }

    /** Removes and returns the requests that wait no longer. */
    List<Parked> takeOver(long nowNanos, boolean hasServer) {
        return take(p -> !hasServer || nowNanos - p.untilNanos() >= 0 || !isAssigned(p.hash()));
    }

    private List<Parked> take(Predicate<Parked> condition) {
        List<Parked> taken = new ArrayList<>();
        for (Iterator<Parked> i = parked.values().iterator(); i.hasNext(); ) {
            Parked request = i.next();
            if (condition.test(request)) {
                i.remove();
                taken.add(request);
            }
        }
        return taken;
    }
}
