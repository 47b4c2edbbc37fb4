package org.coriandercrank.gate.internal;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.coriandercrank.kernel.backend.BackendServer;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.BackendInfo.Capability;

/**
 * An admitted request and those who wait for its answer.
 *
 * <p>States follow each other in the order of {@link State}; the call to the backend server is made at most once, on
 * the step to RUNNING. Not thread safe.
 */
public final class Execution {
    /** Progress of an execution. */
    public enum State {
        QUEUED,
        RUNNING,
        /** The backend server certainly does nothing for the request any more. */
        ENDED,
        /** The call ended without an answer; the server may still be at work. */
        LOST
    }

    /** A backend server and what it announced. Immutable. */
    public record AttachedBackend(BackendInfo info, BackendServer server) {
        boolean supports(Capability capability) {
            return info.capabilities().contains(capability);
        }
    }

    /** A submitted request that waits for the answer. Immutable. */
    public record Waiter(RequestId id, CompletableFuture<CallerAnswer> result, long deadlineNanos) {}

    private final CallerRequest request;
    private final KeyHash hash;
    private final long requestDigest;
    private final boolean repeatable;
    private final long arrivedAtNanos;
    private final long deadlineNanos;
    private final List<RequestId> requestIds = new ArrayList<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private State state = State.QUEUED;
    private AttachedBackend backend;
    private long startedAtNanos;
    private boolean cancelRequested;
    private boolean cancelSent;

    /** @param arrivedAtNanos when the request came to the gate */
    public Execution(
            CallerRequest request,
            KeyHash hash,
            long digest,
            boolean repeatable,
            long arrivedAtNanos,
            long deadlineNanos) {
        this.request = request;
        this.hash = hash;
        this.requestDigest = digest;
        this.repeatable = repeatable;
        this.arrivedAtNanos = arrivedAtNanos;
        this.deadlineNanos = deadlineNanos;
    }

    public CallerRequest request() {
        return request;
    }

    public KeyHash hash() {
        return hash;
    }

    /** Whether the answer is kept, so that the request never runs a second time. */
    public boolean isAtMostOnce() {
        return !repeatable || request.idempotencyKey().isPresent();
    }

    public long requestDigest() {
        return requestDigest;
    }

    public boolean isSameRequest(KeyHash otherHash, long otherDigest) {
        return requestDigest == otherDigest && hash.equals(otherHash);
    }

    public long arrivedAtNanos() {
        return arrivedAtNanos;
    }

    public long deadlineNanos() {
        return deadlineNanos;
    }

    public State state() {
        return state;
    }

    public AttachedBackend backend() {
        return backend;
    }

    public long startedAtNanos() {
        return startedAtNanos;
    }

    /** All ids that share this execution, the executed one first. */
    public List<RequestId> requestIds() {
        return requestIds;
    }

    public boolean hasWaiters() {
        return !waiters.isEmpty();
    }

    public boolean hasOtherWaiters(RequestId id) {
        return waiters.stream().anyMatch(w -> !w.id().equals(id));
    }

    public boolean isCancelRequested() {
        return cancelRequested;
    }

    public void addWaiter(Waiter waiter) {
        waiters.add(waiter);
        if (!requestIds.contains(waiter.id())) {
            requestIds.add(waiter.id());
        }
    }

    /** Removes the waiters that satisfy a condition, for the caller to answer. */
    public List<Waiter> removeWaiters(Predicate<Waiter> condition) {
        List<Waiter> removed = new ArrayList<>();
        Iterator<Waiter> iterator = waiters.iterator();
        while (iterator.hasNext()) {
            Waiter waiter = iterator.next();
            if (condition.test(waiter)) {
                iterator.remove();
                removed.add(waiter);
            }
        }
        return removed;
    }

    public void start(AttachedBackend target, long nowNanos) {
        if (state != State.QUEUED) {
            throw new IllegalStateException("request " + request.id() + " was started before");
        }
        state = State.RUNNING;
        backend = target;
        startedAtNanos = nowNanos;
    }

    public void end(State endState) {
        state = endState;
    }

    public void requestCancel() {
        cancelRequested = true;
    }

    /** Asks the backend server once to stop the call, if it can. */
    public void sendCancel() {
        if (state == State.RUNNING && !cancelSent && backend.supports(Capability.CANCEL)) {
            cancelSent = true;
            backend.server().cancel(request.id());
        }
    }

    /**
     * Whether the backend server certainly does nothing for the request any more.
     *
     * @param grantExpired whether the last validity granted for the key has lapsed at the server
     */
    public boolean isSettled(ReleasePolicy policy, boolean grantExpired, long nowNanos) {
        if (state == State.ENDED) {
            return true;
        }
        long overdueMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - deadlineNanos);
        if (overdueMs < policy.deadlineGraceMs()) {
            return false;
        }
        return backend.supports(Capability.DEADLINE)
                || (backend.supports(Capability.VALIDITY) && grantExpired)
                || policy.allowUnconfirmed()
                || (state == State.LOST && overdueMs >= policy.lostCallLifetimeMs());
    }

    /** When a release may take a call as ended. Immutable. */
    public record ReleasePolicy(long deadlineGraceMs, long lostCallLifetimeMs, boolean allowUnconfirmed) {}
}
