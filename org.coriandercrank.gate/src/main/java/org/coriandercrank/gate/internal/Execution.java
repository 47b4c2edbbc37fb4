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
    public record Backend(BackendInfo info, BackendServer server) {
        boolean has(Capability capability) {
            return info.capabilities().contains(capability);
        }
    }

    /** A submitted request that waits for the answer. Immutable. */
    public record Waiter(RequestId id, CompletableFuture<CallerAnswer> result, long deadlineNanos) {}

    private final CallerRequest request;
    private final KeyHash hash;
    private final long digest;
    private final boolean repeatable;
    private final long arrivedAtNanos;
    private final long deadlineNanos;
    private final List<RequestId> ids = new ArrayList<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private State state = State.QUEUED;
    private Backend backend;
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
        this.digest = digest;
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
    public boolean isRunOnce() {
        return !repeatable || request.idempotencyKey().isPresent();
    }

    public long digest() {
        return digest;
    }

    public boolean isSameRequest(KeyHash otherHash, long otherDigest) {
        return digest == otherDigest && hash.equals(otherHash);
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

    public Backend backend() {
        return backend;
    }

    public long startedAtNanos() {
        return startedAtNanos;
    }

    /** All ids that share this execution, the executed one first. */
    public List<RequestId> ids() {
        return ids;
    }

    public boolean hasWaiters() {
        return !waiters.isEmpty();
    }

    public boolean hasWaitersBeside(RequestId id) {
        return waiters.stream().anyMatch(w -> !w.id().equals(id));
    }

    public boolean isCancelRequested() {
        return cancelRequested;
    }

    public void attach(Waiter waiter) {
        waiters.add(waiter);
        if (!ids.contains(waiter.id())) {
            ids.add(waiter.id());
        }
    }

    /** Removes the waiters that satisfy a condition, for the caller to answer. */
    public List<Waiter> detach(Predicate<Waiter> condition) {
        List<Waiter> detached = new ArrayList<>();
        Iterator<Waiter> each = waiters.iterator();
        while (each.hasNext()) {
            Waiter waiter = each.next();
            if (condition.test(waiter)) {
                each.remove();
                detached.add(waiter);
            }
        }
        return detached;
    }

    public void start(Backend startedAt, long nowNanos) {
        if (state != State.QUEUED) {
            throw new IllegalStateException("request " + request.id() + " was started before");
        }
        state = State.RUNNING;
        backend = startedAt;
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
        if (state == State.RUNNING && !cancelSent && backend.has(Capability.CANCEL)) {
            cancelSent = true;
            backend.server().cancel(request.id());
        }
    }

    /**
     * Whether the backend server certainly does nothing for the request any more.
     *
     * @param validityLapsed whether the last validity granted for the key has lapsed at the server
     */
    public boolean isSettled(ReleaseRules rules, boolean validityLapsed, long nowNanos) {
        if (state == State.ENDED) {
            return true;
        }
        long overdueMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - deadlineNanos);
        if (overdueMs < rules.graceMs()) {
            return false;
        }
        return backend.has(Capability.DEADLINE)
                || (backend.has(Capability.VALIDITY) && validityLapsed)
                || rules.withoutProof()
                || (state == State.LOST && overdueMs >= rules.lostCallLifetimeMs());
    }

    /** When a release may take a call as ended. Immutable. */
    public record ReleaseRules(long graceMs, long lostCallLifetimeMs, boolean withoutProof) {}
}
