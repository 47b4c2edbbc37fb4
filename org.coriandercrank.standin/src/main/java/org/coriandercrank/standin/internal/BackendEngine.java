package org.coriandercrank.standin.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.http.HttpAbortException;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.backend.Grant;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.concurrent.SingleThreadExecutor;
import org.coriandercrank.kernel.table.BackendInfo.Capability;
import org.coriandercrank.kernel.time.TimerService;

/**
 * Execution of requests. Not thread safe; confined to the duty of the server.
 *
 * <p>Invariants: at most {@code slots} requests run; a request takes effect in one step at the end of its service time,
 * directly after its grant, fence, deadline and cancellation were checked; each effect has one ledger entry, written
 * before the answer. A request that was answered as not run never takes effect. Repeated request ids are executed
 * again, so that the ledger shows a failure of the system to send a request once.
 */
final class BackendEngine {
    private static final int STATUS_REJECTED = 409;
    private static final int STATUS_CANCELLED = 499;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_DEADLINE = 504;

    /** Cancellations that overtook their request on another connection are remembered up to this number. */
    private static final int MAX_EARLY_CANCELS = 1_024;

    private final BackendOptions options;
    private final SingleThreadExecutor executor;
    private final TimerService timers;
    private final FaultInjector faults;
    private final Ledger ledger;
    private final GrantTable grants;
    private final ValueMap values = new ValueMap();
    private final Deque<BackendRequest> queue = new ArrayDeque<>();
    private final Map<RequestId, BackendRequest> known = new HashMap<>();
    private final Map<RequestId, Boolean> earlyCancels = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestId, Boolean> eldest) {
            return size() > MAX_EARLY_CANCELS;
        }
    };
    private final long startedAtMs;
    private int running;
    private long started;
    private long rejected;
    private boolean draining;

    BackendEngine(BackendOptions options, SingleThreadExecutor executor, TimerService timers, FaultInjector faults, Ledger ledger) {
        this.options = options;
        this.executor = executor;
        this.timers = timers;
        this.faults = faults;
        this.ledger = ledger;
        this.grants = new GrantTable(options.info().capabilities());
        this.startedAtMs = timers.clock().nowMs();
    }

    /** Queues a request or refuses it at once. */
    void arrive(HttpRequest call, CompletableFuture<HttpResponse> result) {
        BackendRequest execution = new BackendRequest(call, timers.clock().nowNanos(), result);
        if (faults.isTriggered(FaultKind.CLOSED)) {
            result.completeExceptionally(HttpAbortException.withoutResponse());
            return;
        }
        Optional<HttpResponse> refusal = arrivalRefusal(execution);
        if (refusal.isPresent()) {
            rejected++;
            result.complete(refusal.get());
            return;
        }
        known.put(execution.id, execution);
        queue.add(execution);
        if (has(Capability.DEADLINE) && execution.deadlineMs.isPresent()) {
            execution.deadlineTimer =
                    timers.once(execution.deadlineMs.get(), executor, () -> stop(execution, STATUS_DEADLINE, "deadline"));
        }
        startQueued();
    }

    private Optional<HttpResponse> arrivalRefusal(BackendRequest execution) {
        if (draining) {
            return Optional.of(Responses.notRun(STATUS_UNAVAILABLE, "draining"));
        }
        if (faults.isTriggered(FaultKind.DOWN)) {
            return Optional.of(Responses.notRun(STATUS_UNAVAILABLE, "down"));
        }
        if (faults.isTriggered(FaultKind.SHED) || queue.size() >= options.queueLimit()) {
            return Optional.of(Responses.notRun(STATUS_UNAVAILABLE, "overload"));
        }
        if (earlyCancels.remove(execution.id) != null) {
            return Optional.of(Responses.notRun(STATUS_CANCELLED, "cancelled"));
        }
        return executionRefusal(execution);
    }

    private Optional<HttpResponse> executionRefusal(BackendRequest execution) {
        long nowNanos = timers.clock().nowNanos();
        if (has(Capability.DEADLINE) && execution.deadlinePassed(nowNanos)) {
            return Optional.of(Responses.notRun(STATUS_DEADLINE, "deadline"));
        }
        return grants.refusal(execution, nowNanos).map(reason -> Responses.notRun(STATUS_REJECTED, reason));
    }

    private void startQueued() {
        while (running < options.info().slots() && !queue.isEmpty()) {
            BackendRequest execution = queue.poll();
            if (execution.done || refuse(execution)) {
                continue;
            }
            execution.running = true;
            execution.order = ++started;
            execution.startNanos = timers.clock().nowNanos();
            execution.startWallMs = System.currentTimeMillis();
            running++;
            long serviceMs = serviceMs();
            if (serviceMs == 0) {
                finish(execution);
            } else {
                timers.once(serviceMs, executor, () -> {
                    finish(execution);
                    startQueued();
                });
            }
        }
    }

    private long serviceMs() {
        long slowMs = faults.trigger(FaultKind.SLOW).map(Fault::delayMs).orElse(0L);
        long ageMs = timers.clock().nowMs() - startedAtMs;
        double factor = 1;
        if (ageMs < options.coldStartMs()) {
            factor += (options.coldStartFactor() - 1) * (options.coldStartMs() - ageMs) / options.coldStartMs();
        }
        return Math.round(options.serviceMs() * factor) + slowMs;
    }

    private boolean refuse(BackendRequest execution) {
        Optional<HttpResponse> refusal = executionRefusal(execution);
        refusal.ifPresent(reply -> end(execution, reply));
        return refusal.isPresent();
    }

    private void finish(BackendRequest execution) {
        if (execution.done || refuse(execution)) {
            return;
        }
        HttpResponse reply = values.apply(execution.valueName(), execution.call);
        ledger.append(new LedgerEntry(
                execution.order,
                options.info().name(),
                execution.id.value(),
                execution.key.map(Object::toString).orElse(""),
                execution.call.method(),
                execution.fence.value(),
                execution.startNanos,
                timers.clock().nowNanos(),
                execution.startWallMs,
                System.currentTimeMillis()));
        release(execution);
        if (faults.isTriggered(FaultKind.UNANSWERED)) {
            execution.result.completeExceptionally(HttpAbortException.withoutResponse());
        } else if (faults.isTriggered(FaultKind.CUT_ANSWER)) {
            execution.result.completeExceptionally(HttpAbortException.midResponse(reply));
        } else {
            execution.result.complete(reply);
        }
    }

    private void end(BackendRequest execution, HttpResponse refusal) {
        rejected++;
        release(execution);
        execution.result.complete(refusal);
    }

    private void release(BackendRequest execution) {
        execution.done = true;
        execution.deadlineTimer.cancel();
        known.remove(execution.id, execution);
        if (execution.running) {
            running--;
        }
    }

    private boolean stop(BackendRequest execution, int status, String reason) {
        if (execution.done) {
            return false;
        }
        queue.remove(execution);
        end(execution, Responses.notRun(status, reason));
        startQueued();
        return true;
    }

    /** Stops a request that has not taken effect; true if it was found. */
    boolean cancel(RequestId id) {
        if (!has(Capability.CANCEL)) {
            return false;
        }
        BackendRequest execution = known.get(id);
        if (execution == null) {
            earlyCancels.put(id, true);
            return false;
        }
        return stop(execution, STATUS_CANCELLED, "cancelled");
    }

    /** Takes a grant; false if it is older than the present one. */
    boolean grant(Grant grant, long sentAtNanos) {
        return grants.replace(grant, sentAtNanos);
    }

    long grantSequence() {
        return grants.sequence();
    }

    void drain() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }

    /** Requests that run or wait. */
    int load() {
        return running + queue.size();
    }

    BackendStats stats(int openConnections, int peakConnections) {
        return new BackendStats(
                ledger.total(), rejected, running, queue.size(), values.size(), openConnections, peakConnections);
    }

    private boolean has(Capability capability) {
        return options.info().capabilities().contains(capability);
    }
}
