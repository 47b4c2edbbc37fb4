package org.coriandercrank.gate.internal;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.gate.internal.Admission.RangeStatus;
import org.coriandercrank.gate.internal.Admission.AdmissionContext;
import org.coriandercrank.gate.internal.Execution.AttachedBackend;
import org.coriandercrank.gate.internal.Execution.State;
import org.coriandercrank.gate.internal.Execution.Waiter;
import org.coriandercrank.gate.internal.ParkedRequests.ParkedRequest;
import org.coriandercrank.gate.internal.QueueOrder.SortKey;
import org.coriandercrank.gate.internal.RequestTable.Lookup;
import org.coriandercrank.kernel.backend.BackendCall;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.RequestRules;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.Key;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.ownership.GateLoad;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.table.BackendInfo.Capability;

/**
 * Admits requests and runs them at the backend server.
 *
 * <p>Invariants: a call is sent only with a free slot and, for a keyed service, with a valid lease and a served and
 * granted range; each execution is started at most once; a slot is taken until the call ends, also when the callers already
 * have their answer. Not thread safe.
 */
final class RequestService {
    private static final long RANGE_MOVING_RETRY_AFTER_MS = 200;

    private final GateContext context;
    private final RangeTable ranges;
    private final GrantManager grants;
    private final RequestTable requestTable;
    private final DrainState drain;
    private final RequestQueue queue = new RequestQueue();
    private final LoadEstimator loadEstimator;
    private final Set<Execution> running = new LinkedHashSet<>();
    private final List<Execution> lostCalls = new ArrayList<>();
    private final ParkedRequests parkedRequests;
    private final Runnable onCallEndListener;
    private final RecordLossDetector recordLossDetector;
    private AttachedBackend backend;
    private ConcurrencyLimit concurrencyLimit;
    private boolean acceptingWork = true;

    RequestService(
            GateContext context,
            RangeTable ranges,
            GrantManager grants,
            RequestTable requestTable,
            DrainState drain,
            Runnable onCallEndListener) {
        this.context = context;
        this.ranges = ranges;
        this.grants = grants;
        this.requestTable = requestTable;
        this.drain = drain;
        this.onCallEndListener = onCallEndListener;
        parkedRequests = new ParkedRequests(context, ranges);
        loadEstimator = new LoadEstimator(context.nowNanos());
        recordLossDetector = new RecordLossDetector(context, ranges);
    }

    void attach(AttachedBackend newBackend) {
        backend = newBackend;
        acceptingWork = true;
        concurrencyLimit = new ConcurrencyLimit(
                newBackend.info().slots(),
                context.options().slowStartMs(),
                context.options().overloadRecoveryMs(),
                context.nowNanos());
    }

    void detach() {
        backend = null;
    }

    /** Sends the server in use no further request, and refuses those that wait. */
    void stopSending() {
        acceptingWork = false;
        refuseQueued(ResultCode.DRAINING, "the server takes no new work");
    }

    private boolean isDraining() {
        return !acceptingWork || drain.isDraining(backend);
    }

    int queued() {
        return queue.queued();
    }

    GateLoad loadEstimator() {
        return backend == null
                ? GateLoad.NONE
                : new GateLoad(queue.queued() + running.size(), concurrencyLimit.limit(context.nowNanos()), loadEstimator.meanMs());
    }

    int inFlight() {
        return running.size();
    }

    boolean isInUse(AttachedBackend other) {
        return running.stream().anyMatch(r -> r.backend().equals(other));
    }

    /** Calls that run, and those that were lost and may still run. */
    List<Execution> unsettledCalls() {
        List<Execution> unsettled = new ArrayList<>(running);
        unsettled.addAll(lostCalls);
        return unsettled;
    }

    void advanceUnkeyedHorizons(long sinceNanos) {
        recordLossDetector.advanceUnkeyedHorizons(sinceNanos);
    }

    void submit(CallerRequest request, long arrivedAtNanos, CompletableFuture<CallerAnswer> result) {
        long deadlineNanos = arrivedAtNanos + TimeUnit.MILLISECONDS.toNanos(request.remainingMs());
        Waiter waiter = new Waiter(request.id(), result, deadlineNanos);
        RoutingSnapshot routing = context.routing();
        Optional<ServiceConfig> config = routing.configuration().service(request.service());
        if (!request.service().equals(context.dependencies().service())) {
            refuse(waiter, CallerAnswer.of(ResultCode.NOT_OWNER, "the service is not served here"));
        } else if (config.isEmpty()) {
            boolean starting = routing.configurationRevision().equals(Revision.NONE);
            refuse(
                    waiter,
                    CallerAnswer.of(
                            starting ? ResultCode.STARTING : ResultCode.UNKNOWN_SERVICE,
                            "the configuration does not have the service"));
        } else if (config.get().keyed() && request.key().isEmpty()) {
            refuse(waiter, CallerAnswer.of(ResultCode.BAD_REQUEST, "the service needs a key"));
        } else {
            submitValidated(request, config.get(), waiter);
        }
    }

    private void submitValidated(CallerRequest request, ServiceConfig config, Waiter waiter) {
        KeyHash hash = config.keyed() ? request.key().map(Key::hash).orElseThrow() : KeyHash.MIN;
        long requestDigest = RequestDigest.of(request);
        long nowNanos = context.nowNanos();
        Lookup lookup = requestTable.lookup(request, hash, requestDigest, nowNanos);
        if (lookup.answer().isPresent()) {
            answer(waiter, lookup.answer().get());
            return;
        }
        if (lookup.running().isPresent()) {
            requestTable.addWaiter(lookup.running().get(), waiter);
            return;
        }
        if (parkedRequests.contains(request.id())) {
            refuse(waiter, CallerAnswer.of(ResultCode.DUPLICATE_RUNNING, "a copy of the request waits for its range"));
            return;
        }
        if (config.keyed() && !isDraining() && parkedRequests.park(request, hash, waiter, nowNanos)) {
            return;
        }
        ranges.serving(hash).ifPresent(entry -> entry.loadMeter().onRequest(hash));
        loadEstimator.onArrival(request.rules(), nowNanos);
        Optional<CallerAnswer> refusal =
                Admission.refusal(admissionContext(request, config, hash, waiter, nowNanos), () -> retryAfterMs(nowNanos));
        if (refusal.isPresent()) {
            refuse(waiter, refusal.get());
            return;
        }
        Execution execution =
                new Execution(request, hash, requestDigest, request.isRepeatable(config), nowNanos, waiter.deadlineNanos());
        requestTable.add(execution);
        requestTable.addWaiter(execution, waiter);
        queue.add(execution);
        dispatch();
    }

    boolean isParked(RequestId id) {
        return parkedRequests.contains(id);
    }

    /** Submits the parked requests whose range is served now, and refuses those whose wait is over. */
    void processParked(long nowNanos) {
        for (ParkedRequest p : parkedRequests.removeServed()) {
            submitValidated(p.request(), context.serviceConfig(), p.waiter());
        }
        for (ParkedRequest p : parkedRequests.removeExpired(nowNanos, backend != null && acceptingWork)) {
            refuse(
                    p.waiter(),
                    CallerAnswer.retryLater(ResultCode.RANGE_MOVING, "the range is being moved", RANGE_MOVING_RETRY_AFTER_MS));
        }
    }

    private AdmissionContext admissionContext(
            CallerRequest request, ServiceConfig config, KeyHash hash, Waiter waiter, long nowNanos) {
        int limit = backend == null ? 1 : concurrencyLimit.limit(nowNanos);
        double expectedServiceMs = loadEstimator.serviceMs(request.rules());
        SortKey sortKey = QueueOrder.sortKey(request.rules(), nowNanos, expectedServiceMs, nowNanos);
        long expectedWaitMs = loadEstimator.expectedWaitMs(
                queue.workAheadMs(sortKey, this::expectedServiceMs, nowNanos), occupiedSlots(), limit, request.rules());
        return new AdmissionContext(
                hasRequiredLease(config),
                rangeStatus(config, hash),
                isDraining(),
                backend != null,
                config.keyed() && grants.hasLastGrantFailed() && !grants.hasValidGrant(nowNanos),
                recordLossDetector.mayHaveLostRecord(request, config, hash, nowNanos),
                TimeUnit.NANOSECONDS.toMillis(waiter.deadlineNanos() - nowNanos),
                backend != null
                        && queue.exceedsKeyShare(hash, config, backend.info().slots()),
                queue.queued(),
                config.maxQueueLength(),
                occupiedSlots(),
                limit,
                expectedWaitMs,
                (long) expectedServiceMs,
                request.rules().map(RequestRules::latencyObjectiveMs).orElse(Long.MAX_VALUE),
                loadEstimator.isOverloaded(request.rules(), limit, nowNanos));
    }

    private double expectedServiceMs(Execution execution) {
        return loadEstimator.serviceMs(execution.request().rules());
    }

    /** Time told to a refused caller, from the work that waits now. */
    private long retryAfterMs(long nowNanos) {
        int limit = backend == null ? 1 : concurrencyLimit.limit(nowNanos);
        double queuedWorkMs = queue.workAheadMs(SortKey.LAST, this::expectedServiceMs, nowNanos);
        return loadEstimator.retryAfterMs(
                loadEstimator.expectedWaitMs(queuedWorkMs, occupiedSlots(), limit, Optional.empty()), limit, nowNanos);
    }

    private RangeStatus rangeStatus(ServiceConfig config, KeyHash hash) {
        if (!config.keyed() || ranges.serving(hash).isPresent()) {
            return RangeStatus.SERVED;
        }
        return ranges.newest(hash).isPresent() ? RangeStatus.MOVING : RangeStatus.NOT_SERVED;
    }

    /** Starts waiting requests while slots are free. */
    void dispatch() {
        ServiceConfig config = context.serviceConfig();
        while (backend != null && queue.queued() > 0) {
            if (!hasRequiredLease(config)) {
                refuseQueued(ResultCode.LEASE_LAPSED, "the lease is not valid");
                return;
            }
            long nowNanos = context.nowNanos();
            int limit = concurrencyLimit.limit(nowNanos);
            if (occupiedSlots() >= limit || (config.keyed() && !grants.hasValidGrant(nowNanos))) {
                return;
            }
            startOrRefuse(queue.peekNext(config, limit, this::expectedServiceMs, nowNanos).orElseThrow(), config, nowNanos);
        }
    }

    private void startOrRefuse(Execution execution, ServiceConfig config, long nowNanos) {
        long remainingMs = TimeUnit.NANOSECONDS.toMillis(execution.deadlineNanos() - nowNanos);
        Optional<RangeEntry> entry = ranges.serving(execution.hash());
        if (remainingMs < 1) {
            finishQueued(execution, CallerAnswer.of(ResultCode.DEADLINE_EXPIRED, "the deadline passed in the queue"));
        } else if (config.keyed() && entry.isEmpty()) {
            finishQueued(execution, CallerAnswer.of(ResultCode.NOT_OWNER, "the range is not served here"));
        } else {
            Generation fence = config.keyed() ? entry.orElseThrow().fence() : Generation.NONE;
            start(execution, config, new BackendCall(execution.request().withRemainingMs(remainingMs), fence), nowNanos);
        }
    }

    /** Only keys have an owner that another server could replace. */
    private boolean hasRequiredLease(ServiceConfig config) {
        return !config.keyed() || context.isLeaseValid();
    }

    private void start(Execution execution, ServiceConfig config, BackendCall call, long nowNanos) {
        AttachedBackend target = backend;
        if (!hasRequiredLease(config)) {
            finishQueued(execution, CallerAnswer.of(ResultCode.LEASE_LAPSED, "the lease is not valid"));
            return;
        }
        queue.onStart(execution);
        execution.start(target, nowNanos);
        running.add(execution);
        context.metrics().onExecution();
        context.call(() -> target.server().execute(call), (answer, failure) -> onCallEnd(execution, answer, failure));
    }

    private void onCallEnd(Execution execution, CallerAnswer answer, Throwable failure) {
        long nowNanos = context.nowNanos();
        queue.onEnd(execution);
        running.remove(execution);
        CallerAnswer finalAnswer = failure == null && answer != null
                ? answer
                : failureAnswer(execution, CrankException.of(failure), nowNanos);
        if (finalAnswer.outcome() == Outcome.UNKNOWN) {
            execution.end(State.LOST);
            lostCalls.add(execution);
        } else {
            execution.end(State.ENDED);
        }
        if (finalAnswer.outcome() == Outcome.RUN) {
            loadEstimator.onExecuted(execution.request().rules(), nowNanos - execution.startedAtNanos());
        }
        requestTable.finish(execution, finalAnswer, nowNanos);
        answerAll(execution, finalAnswer);
        onCallEndListener.run();
    }

    private CallerAnswer failureAnswer(Execution execution, CrankException failure, long nowNanos) {
        if (failure.code() == ResultCode.OVERLOADED && execution.backend().equals(backend)) {
            concurrencyLimit.onOverload(nowNanos);
        } else if (failure.code() == ResultCode.FENCE_REJECTED) {
            ranges.serving(execution.hash()).ifPresent(entry -> entry.markRejected(nowNanos));
            grants.requestGrant();
        }
        return CallFailureMapper.toCallerAnswer(failure.code(), execution.isCancelRequested(), () -> retryAfterMs(nowNanos));
    }

    void cancel(RequestId id) {
        parkedRequests.remove(id)
                .ifPresent(p -> refuse(
                        p.waiter(), CallerAnswer.of(ResultCode.CANCELLED, "cancelled before its range was served")));
        Optional<Execution> found = requestTable.active(id);
        if (found.isEmpty()) {
            return;
        }
        Execution execution = found.get();
        boolean shared = execution.hasOtherWaiters(id);
        if (execution.state() == State.QUEUED && !shared) {
            finishQueued(execution, CallerAnswer.of(ResultCode.CANCELLED, "cancelled in the queue"));
            dispatch();
        } else if (shared || !execution.backend().supports(Capability.CANCEL)) {
            CallerAnswer answer =
                    CallerAnswer.of(ResultCode.CANCELLED_RUNNING, "cancelled; the request may still be executed");
            execution.removeWaiters(w -> w.id().equals(id)).forEach(w -> answer(w, answer));
        } else {
            execution.requestCancel();
            execution.sendCancel();
        }
    }

    /** Whether a waiting request has no chance: no time is left, or those in time take all that the server can do. */
    private boolean cannotFinishInTime(Execution execution, long nowNanos) {
        long remainingMs = TimeUnit.NANOSECONDS.toMillis(execution.deadlineNanos() - nowNanos);
        if (remainingMs < Admission.MIN_SERVICE_TIME_SHARE * expectedServiceMs(execution)) {
            return true;
        }
        SortKey sortKey = QueueOrder.sortKey(execution, this::expectedServiceMs, nowNanos);
        return sortKey.missesObjective()
                && backend != null
                && loadEstimator.isOverloaded(execution.request().rules(), concurrencyLimit.limit(nowNanos), nowNanos);
    }

    /** Answers those whose deadline has passed, and stops calls that nobody waits for or that hold up a release. */
    void expire(RangeService rangeService, long nowNanos) {
        for (Execution execution : List.copyOf(requestTable.active())) {
            boolean overdue = nowNanos - execution.deadlineNanos() >= 0;
            if (execution.state() == State.QUEUED && !overdue && cannotFinishInTime(execution, nowNanos)) {
                finishQueued(
                        execution,
                        CallerAnswer.retryLater(
                                ResultCode.OVERLOADED, "it cannot be served in the time left", retryAfterMs(nowNanos)));
                continue;
            }
            if (execution.state() == State.QUEUED && overdue) {
                finishQueued(
                        execution, CallerAnswer.of(ResultCode.DEADLINE_EXPIRED, "the deadline passed in the queue"));
                continue;
            }
            ResultCode code = execution.state() == State.QUEUED
                    ? ResultCode.DUPLICATE_RUNNING
                    : ResultCode.DEADLINE_EXPIRED_RUNNING;
            for (Waiter waiter : execution.removeWaiters(w -> nowNanos - w.deadlineNanos() >= 0)) {
                answer(waiter, CallerAnswer.of(code, code.description()));
            }
            if (overdue && (!execution.hasWaiters() || rangeService.isReleasing(execution.hash()))) {
                execution.sendCancel();
            }
        }
        lostCalls.removeIf(call -> call.isSettled(rangeService.releasePolicy(), false, nowNanos));
        if (!hasRequiredLease(context.serviceConfig())) {
            refuseQueued(ResultCode.LEASE_LAPSED, "the lease is not valid");
        }
    }

    /** Answers the waiting requests that no served range contains. */
    void refuseUnservedRanges() {
        if (context.serviceConfig().keyed()) {
            for (Execution execution :
                    queue.filter(e -> ranges.serving(e.hash()).isEmpty())) {
                finishQueued(execution, CallerAnswer.of(ResultCode.NOT_OWNER, "the range is not served here"));
            }
        }
    }

    void refuseQueued(ResultCode code, String detail) {
        for (Execution execution : queue.filter(e -> true)) {
            finishQueued(execution, CallerAnswer.of(code, detail));
        }
    }

    private void finishQueued(Execution execution, CallerAnswer answer) {
        queue.remove(execution);
        execution.end(State.ENDED);
        requestTable.finish(execution, answer, context.nowNanos());
        context.logDecision(
                () -> "event=dequeued request=" + execution.request().id() + " code=" + answer.code());
        answerAll(execution, answer);
    }

    private int occupiedSlots() {
        if (backend == null) {
            return 0;
        }
        int occupied = 0;
        for (Execution execution : running) {
            if (execution.backend().info().address().equals(backend.info().address())) {
                occupied++;
            }
        }
        return occupied;
    }

    private void answerAll(Execution execution, CallerAnswer answer) {
        execution.removeWaiters(w -> true).forEach(w -> answer(w, answer));
    }

    private void refuse(Waiter waiter, CallerAnswer answer) {
        context.logDecision(() -> "event=refused request=" + waiter.id() + " code=" + answer.code());
        answer(waiter, answer);
    }

    private void answer(Waiter waiter, CallerAnswer answer) {
        context.metrics().onAnswer(answer.code());
        waiter.result().complete(answer);
    }
}
