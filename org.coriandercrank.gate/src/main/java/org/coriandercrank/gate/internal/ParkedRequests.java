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
 * Requests whose range is assigned to this member but not served now, because it is not acquired yet or the backend
 * server rejected its fencing token. The requests wait here, so that the daemons of the callers need not retry them
 * while a range moves. Limited in number and waiting time. Not thread safe.
 */
final class ParkedRequests {
    /** A request that waits until its range is served. Immutable. */
    record ParkedRequest(CallerRequest request, KeyHash hash, Waiter waiter, long expiresAtNanos) {}

    private final GateContext context;
    private final RangeTable ranges;
    private final Map<RequestId, ParkedRequest> parkedById = new LinkedHashMap<>();

    ParkedRequests(GateContext context, RangeTable ranges) {
        this.context = context;
        this.ranges = ranges;
    }

    /**
     * Parks a request if its range is assigned to this member but not served now, and the limit is not reached. Returns
     * whether the request was parked.
     */
    boolean park(CallerRequest request, KeyHash hash, Waiter waiter, long nowNanos) {
        boolean hasCapacity = parkedById.size() < context.options().maxParkedRequests();
        if (!hasCapacity || isServed(hash) || !isAssigned(hash)) {
            return false;
        }
        long timeoutNanos =
                nowNanos + TimeUnit.MILLISECONDS.toNanos(context.options().parkTimeoutMs());
        long expiresAtNanos = timeoutNanos - waiter.deadlineNanos() < 0 ? timeoutNanos : waiter.deadlineNanos();
        parkedById.put(waiter.id(), new ParkedRequest(request, hash, waiter, expiresAtNanos));
        return true;
    }

    private boolean isServed(KeyHash hash) {
        return ranges.serving(hash).filter(entry -> !entry.needsRegrant()).isPresent();
    }

    private boolean isAssigned(KeyHash hash) {
        RoutingSnapshot routing = context.routing();
        return routing.table(context.dependencies().service())
                .flatMap(table -> table.find(hash))
                .map(assignment -> assignment.owner().equals(routing.self()))
                .orElse(false);
    }

    boolean contains(RequestId id) {
        return parkedById.containsKey(id);
    }

    Optional<ParkedRequest> remove(RequestId id) {
        return Optional.ofNullable(parkedById.remove(id));
    }

    /** Removes and returns the requests whose range is served now, in order of arrival. */
    List<ParkedRequest> removeServed() {
        return remove(parked -> isServed(parked.hash()));
    }

    /**
     * Removes and returns the requests that timed out or whose range is no longer assigned to this member, or all
     * requests if no backend server is available.
     */
    List<ParkedRequest> removeExpired(long nowNanos, boolean serverAvailable) {
        return remove(
                parked -> !serverAvailable || nowNanos - parked.expiresAtNanos() >= 0 || !isAssigned(parked.hash()));
    }

    List<ParkedRequest> removeAll() {
        return remove(parked -> true);
    }

    private List<ParkedRequest> remove(Predicate<ParkedRequest> condition) {
        List<ParkedRequest> removed = new ArrayList<>();
        for (Iterator<ParkedRequest> iterator = parkedById.values().iterator(); iterator.hasNext(); ) {
            ParkedRequest parked = iterator.next();
            if (condition.test(parked)) {
                iterator.remove();
                removed.add(parked);
            }
        }
        return removed;
    }
}
