package org.coriandercrank.standin.internal;

import com.google.common.flogger.FluentLogger;
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
import org.coriandercrank.kernel.concurrent.SingleThreadExecutor;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.table.BackendInfo.Capability;
import org.coriandercrank.kernel.time.TimerService;

/**
 * Queues and executes requests. Not thread safe; confined to the executor of the server.
 *
 * <p>Invariants: at most {@code slots} requests run at a time. A request that was not cancelled takes effect in one step
 * at the end of its service time; the effect stays only if grant, fencing token and deadline allow it at the end that its
 * ledger entry states. Each effect has one ledger entry, which is written before the response is sent. A request that was
 * answered as not run never takes effect.
 *
 * <p>A request id that arrives again is executed again, so that the ledger shows it if the router sends a request
 * twice.
 */
final class BackendEngine {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** Exit code of a process that a request ended. */
    private static final int CRASH_EXIT_CODE = 70;

    private static final int STATUS_REJECTED = 409;
    private static final int STATUS_CANCELLED = 499;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_DEADLINE_EXPIRED = 504;

    /** Largest number of retained cancellations that arrived, on another connection, before their request. */
    private static final int MAX_EARLY_CANCELLATIONS = 1_024;

    private final BackendOptions options;
    private final SingleThreadExecutor executor;
    private final TimerService timers;
    private final FaultInjector faults;
    private final Ledger ledger;
    private final GrantTable grants;
    private final ValueMap values = new ValueMap();
    private final Deque<BackendRequest> queue = new ArrayDeque<>();
    private final Map<RequestId, BackendRequest> activeRequests = new HashMap<>();
    private final Map<RequestId, Boolean> earlyCancellations = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestId, Boolean> eldest) {
            return size() > MAX_EARLY_CANCELLATIONS;
        }
    };
    private final long serverStartMs;
    private int runningRequests;
    private long startedRequests;
    private long rejectedRequests;
    private boolean draining;

    BackendEngine(
            BackendOptions options,
            SingleThreadExecutor executor,
            TimerService timers,
            FaultInjector faults,
            Ledger ledger) {
        this.options = options;
        this.executor = executor;
        this.timers = timers;
        this.faults = faults;
        this.ledger = ledger;
        this.grants = new GrantTable(options.info().capabilities());
        this.serverStartMs = timers.clock().nowMs();
    }

    /** Queues a request, or rejects it immediately. */
    void submit(HttpRequest httpRequest, CompletableFuture<HttpResponse> response) {
        BackendRequest request = new BackendRequest(httpRequest, timers.clock().nowNanos(), response);
        if (faults.triggers(FaultKind.CLOSED)) {
            response.completeExceptionally(HttpAbortException.withoutResponse());
            return;
        }
        Optional<HttpResponse> rejection = rejectionOnArrival(request);
        if (rejection.isPresent()) {
            rejectedRequests++;
            response.complete(rejection.get());
            return;
        }
        activeRequests.put(request.id, request);
        queue.add(request);
        if (hasCapability(Capability.DEADLINE) && request.deadlineMs.isPresent()) {
            request.deadlineTimer = timers.once(
                    request.deadlineMs.get(), executor, () -> abort(request, STATUS_DEADLINE_EXPIRED, "deadline"));
        }
        startQueued();
    }

    private Optional<HttpResponse> rejectionOnArrival(BackendRequest request) {
        if (draining) {
            return Optional.of(Responses.notRun(STATUS_UNAVAILABLE, "draining"));
        }
        if (faults.triggers(FaultKind.DOWN)) {
            return Optional.of(Responses.notRun(STATUS_UNAVAILABLE, "down"));
        }
        if (faults.triggers(FaultKind.SHED) || queue.size() >= options.queueLimit()) {
            return Optional.of(Responses.notRun(STATUS_UNAVAILABLE, "overload"));
        }
        if (earlyCancellations.remove(request.id) != null) {
            return Optional.of(Responses.notRun(STATUS_CANCELLED, "cancelled"));
        }
        return rejectionBeforeExecution(request);
    }

    private Optional<HttpResponse> rejectionBeforeExecution(BackendRequest request) {
        return rejectionAt(request, timers.clock().nowNanos());
    }

    private Optional<HttpResponse> rejectionAt(BackendRequest request, long nowNanos) {
        if (hasCapability(Capability.DEADLINE) && request.isDeadlineExpired(nowNanos)) {
            return Optional.of(Responses.notRun(STATUS_DEADLINE_EXPIRED, "deadline"));
        }
        return grants.rejectionReason(request, nowNanos).map(reason -> Responses.notRun(STATUS_REJECTED, reason));
    }

    private void startQueued() {
        while (runningRequests < options.info().slots() && !queue.isEmpty()) {
            BackendRequest request = queue.poll();
            if (request.done || rejectIfNotAllowed(request)) {
                continue;
            }
            request.hasOccupiedSlot = true;
            request.startOrder = ++startedRequests;
            request.startNanos = timers.clock().nowNanos();
            request.startWallMs = System.currentTimeMillis();
            runningRequests++;
            logger.atFine().log(
                    "event=execution-start request=%s fence=%s start-nanos=%d grant-sequence=%d valid-until-nanos=%d",
                    request.id, request.fence, request.startNanos, grants.sequence(), grants.validUntilNanos());
            long serviceMs = currentServiceMs();
            if (serviceMs == 0) {
                finish(request);
            } else {
                timers.once(serviceMs, executor, () -> {
                    finish(request);
                    startQueued();
                });
            }
        }
    }

    private long currentServiceMs() {
        long addedDelayMs = faults.trigger(FaultKind.SLOW).map(Fault::delayMs).orElse(0L);
        long uptimeMs = timers.clock().nowMs() - serverStartMs;
        double factor = 1;
        if (uptimeMs < options.coldStartMs()) {
            factor += (options.coldStartFactor() - 1) * (options.coldStartMs() - uptimeMs) / options.coldStartMs();
        }
        return Math.round(options.serviceMs() * factor) + addedDelayMs;
    }

    private boolean rejectIfNotAllowed(BackendRequest request) {
        Optional<HttpResponse> rejection = rejectionBeforeExecution(request);
        rejection.ifPresent(rejectionResponse -> reject(request, rejectionResponse));
        return rejection.isPresent();
    }

    /**
     * Lets a request take effect or rejects it. The process may be suspended after a check for longer than its grant is
     * valid, so the checks use a time at which the effect has been made, which is also the end of the execution in the
     * ledger. A rejected effect is undone before another task of the executor can see it.
     */
    private void finish(BackendRequest request) {
        if (request.done) {
            return;
        }
        Optional<byte[]> previousValue = values.value(request.valueName());
        HttpResponse response = values.apply(request.valueName(), request.httpRequest);
        long endWallMs = System.currentTimeMillis();
        long endNanos = timers.clock().nowNanos();
        Optional<HttpResponse> rejection = rejectionAt(request, endNanos);
        if (rejection.isPresent()) {
            values.restore(request.valueName(), previousValue);
            reject(request, rejection.get());
            return;
        }
        if (options.isCrashing(request.httpRequest.path())) {
            Runtime.getRuntime().halt(CRASH_EXIT_CODE);
        }
        ledger.append(new LedgerEntry(
                request.startOrder,
                options.info().name(),
                request.id.value(),
                request.key.map(Object::toString).orElse(""),
                request.httpRequest.method(),
                request.fence.value(),
                request.startNanos,
                endNanos,
                request.startWallMs,
                endWallMs));
        removeRequest(request);
        if (faults.triggers(FaultKind.UNANSWERED)) {
            request.response.completeExceptionally(HttpAbortException.withoutResponse());
        } else if (faults.triggers(FaultKind.CUT_ANSWER)) {
            request.response.completeExceptionally(HttpAbortException.midResponse(response));
        } else {
            request.response.complete(response);
        }
    }

    private void reject(BackendRequest request, HttpResponse rejection) {
        rejectedRequests++;
        removeRequest(request);
        request.response.complete(rejection);
    }

    private void removeRequest(BackendRequest request) {
        request.done = true;
        request.deadlineTimer.cancel();
        activeRequests.remove(request.id, request);
        if (request.hasOccupiedSlot) {
            runningRequests--;
        }
    }

    private boolean abort(BackendRequest request, int status, String reason) {
        if (request.done) {
            return false;
        }
        queue.remove(request);
        reject(request, Responses.notRun(status, reason));
        startQueued();
        return true;
    }

    /** Aborts a request that has not taken effect; returns whether such a request was found. */
    boolean cancel(RequestId id) {
        if (!hasCapability(Capability.CANCEL)) {
            return false;
        }
        BackendRequest request = activeRequests.get(id);
        if (request == null) {
            earlyCancellations.put(id, true);
            return false;
        }
        return abort(request, STATUS_CANCELLED, "cancelled");
    }

    /** Replaces the current grant; returns false if the new one is older. */
    boolean replaceGrant(Grant grant, long sentAtNanos) {
        return grants.replace(grant, sentAtNanos);
    }

    long grantSequence() {
        return grants.sequence();
    }

    /** Returns the end of the validity of the current grant on the clock of this process; 0 before the first grant. */
    long grantValidUntilNanos() {
        return grants.validUntilNanos();
    }

    void startDraining() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }

    /** Returns the number of running and queued requests. */
    int load() {
        return runningRequests + queue.size();
    }

    BackendStats stats(int openConnections, int peakConnections) {
        return new BackendStats(
                ledger.totalEntries(),
                rejectedRequests,
                runningRequests,
                queue.size(),
                values.size(),
                openConnections,
                peakConnections);
    }

    private boolean hasCapability(Capability capability) {
        return options.info().capabilities().contains(capability);
    }
}
