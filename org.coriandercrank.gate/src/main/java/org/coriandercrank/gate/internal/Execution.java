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
 * An admitted request and the submissions that wait for its answer.
 *
 * <p>The state only moves forward in the order of {@link State}. The call to the backend server is made at most once,
 * on the transition to RUNNING. Not thread safe.
 */
public final class Execution {
    /** Progress of an execution. */
    public enum State {
        QUEUED,
        RUNNING,
        /** The request is certainly not being executed any more, or never was. */
        ENDED,
        /** The call ended without an answer; the backend server may still execute the request. */
        LOST
    }

    /** A backend server and the properties that it announced. Immutable. */
    public record AttachedBackend(BackendInfo info, BackendServer server) {
        boolean supports(Capability capability) {
            return info.capabilities().contains(capability);
        }
    }

    /**
     * A submitted request that waits for the answer of an execution. Immutable.
     *
     * @param id id of the submitted request; differs from that of the execution if they share an idempotency key
     * @param deadlineNanos monotonic time at which the waiter is answered even if the execution has not ended
     */
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
    private int callsAtStart;
    private boolean cancelRequested;
    private boolean cancelSent;

    /**
     * Creates an execution in state QUEUED, without waiters.
     *
     * @param repeatable whether the service allows the request to be executed more than once
     * @param arrivedAtNanos monotonic time at which the gate received the request
     */
    public Execution(
            CallerRequest request,
            KeyHash hash,
            long requestDigest,
            boolean repeatable,
            long arrivedAtNanos,
            long deadlineNanos) {
        this.request = request;
        this.hash = hash;
        this.requestDigest = requestDigest;
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

    /** Whether the request must never run a second time, so that its answer is kept in a record. */
    public boolean isAtMostOnce() {
        return !repeatable || request.idempotencyKey().isPresent();
    }

    public long requestDigest() {
        return requestDigest;
    }

    /** Whether a request with this key hash and digest is identical to the executed one. */
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

    /** Notes the number of calls that run at the server when this one is sent, including it. */
    void setCallsAtStart(int newCallsAtStart) {
        callsAtStart = newCallsAtStart;
    }

    int callsAtStart() {
        return callsAtStart;
    }

    public long startedAtNanos() {
        return startedAtNanos;
    }

    /** Ids of all requests that share this execution; that of the executed request is the first. */
    public List<RequestId> requestIds() {
        return requestIds;
    }

    public boolean hasWaiters() {
        return !waiters.isEmpty();
    }

    /** Whether a request with another id waits for the answer. */
    public boolean hasOtherWaiters(RequestId id) {
        return waiters.stream().anyMatch(w -> !w.id().equals(id));
    }

    public boolean isCancelRequested() {
        return cancelRequested;
    }

    /** Adds a submitted request that gets the answer of this execution. */
    public void addWaiter(Waiter waiter) {
        waiters.add(waiter);
        if (!requestIds.contains(waiter.id())) {
            requestIds.add(waiter.id());
        }
    }

    /** Removes and returns the waiters that satisfy a condition; the caller must answer them. */
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

    /** Moves to RUNNING; throws {@link IllegalStateException} unless the execution is queued. */
    public void start(AttachedBackend target, long nowNanos) {
        if (state != State.QUEUED) {
            throw new IllegalStateException("request " + request.id() + " has already been started");
        }
        state = State.RUNNING;
        backend = target;
        startedAtNanos = nowNanos;
    }

    /** Moves to ENDED or LOST. */
    public void end(State endState) {
        state = endState;
    }

    /** Records that the caller asked to cancel the request. */
    public void requestCancel() {
        cancelRequested = true;
    }

    /** Asks the backend server to cancel the running call, at most once and only if it supports cancellation. */
    public void sendCancel() {
        if (state == State.RUNNING && !cancelSent && backend.supports(Capability.CANCEL)) {
            cancelSent = true;
            backend.server().cancel(request.id());
        }
    }

    /**
     * Whether the call is settled: the backend server certainly does not execute the request any more, or the policy
     * permits this assumption.
     *
     * @param grantExpired whether the last grant for the key has expired at the backend server
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

    /**
     * Rules for when a release may treat a call without an answer as ended. Immutable.
     *
     * @param deadlineGraceMs time after the deadline before which no such call counts as ended
     * @param lostCallLifetimeMs time after the deadline at which a lost call counts as ended on any backend server
     * @param allowUnconfirmed whether every call counts as ended after the grace time
     */
    public record ReleasePolicy(long deadlineGraceMs, long lostCallLifetimeMs, boolean allowUnconfirmed) {}
}
