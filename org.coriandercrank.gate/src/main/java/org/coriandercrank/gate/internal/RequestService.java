package org.coriandercrank.gate.internal;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.gate.internal.Admission.AdmissionContext;
import org.coriandercrank.gate.internal.Admission.RangeStatus;
import org.coriandercrank.gate.internal.Execution.AttachedBackend;
import org.coriandercrank.gate.internal.Execution.State;
import org.coriandercrank.gate.internal.Execution.Waiter;
import org.coriandercrank.gate.internal.ParkedRequests.ParkedRequest;
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
 * Admits requests and executes them at the backend server. Not thread safe.
 *
 * <p>Invariants: a call is sent only if a slot is free and, for a keyed service, the lease is valid and the range is
 * served and granted; an execution starts at most once; a call keeps its slot until it ends, even past its deadline.
 */
final class RequestService {
    private static final long PARK_TIMEOUT_RETRY_AFTER_MS = 200;

    private final GateContext context;
    private final RangeTable ranges;
    private final GrantManager grants;
    private final RequestTable requestTable;
    private final DrainState drainState;
    private final RequestQueue queue = new RequestQueue();
    private final LoadForecast forecast;
    private final LinkForecast linkForecast;
    private final BackendCalls calls = new BackendCalls();
    private final ParkedRequests parked;
    private final Runnable callEndListener;
    private final RecordLossDetector recordLossDetector;
    private final CrashDetector crashDetector;
    private final QuarantinePolicy quarantinePolicy;
    private AttachedBackend backend;
    private boolean sendingEnabled = true;

    RequestService(
            GateContext context,
            RangeTable ranges,
            GrantManager grants,
            RequestTable requestTable,
            DrainState drainState,
            Runnable callEndListener) {
        this.context = context;
        this.ranges = ranges;
        this.grants = grants;
        this.requestTable = requestTable;
        this.drainState = drainState;
        this.callEndListener = callEndListener;
        parked = new ParkedRequests(context, ranges);
        forecast = new LoadForecast(context, queue, calls);
        linkForecast = new LinkForecast(context, queue, calls);
        recordLossDetector = new RecordLossDetector(context, ranges);
        crashDetector = new CrashDetector(context, drainState);
        quarantinePolicy = new QuarantinePolicy(context.dependencies().quarantine(), calls);
    }

    void attach(AttachedBackend newBackend) {
        backend = newBackend;
        sendingEnabled = true;
        forecast.attach(newBackend);
        crashDetector.attach(newBackend);
    }

    void detach() {
        backend = null;
        forecast.detach();
        crashDetector.detach();
    }

    /** Notes that the backend server will end as planned. */
    void onServerLeaving() {
        crashDetector.onLeaving();
    }

    /** Notes that the process of the backend server has ended; called before the server is detached. */
    void onServerEnded() {
        crashDetector.onServerEnded(calls.runningCalls(), context.nowNanos());
    }

    /** Sends no further requests to the attached backend server, and refuses the queued ones. */
    void stopSending() {
        sendingEnabled = false;
        refuseQueued(ResultCode.DRAINING, "the server is draining and accepts no new requests");
    }

    private boolean isDraining() {
        return !sendingEnabled || drainState.isDraining(backend);
    }

    int queued() {
        return queue.size();
    }

    GateLoad load() {
        return backend == null
                ? GateLoad.NONE
                : new GateLoad(
                        queue.size() + calls.running(),
                        (int) Math.max(1, Math.round(forecast.usableSlots(context.nowNanos()))),
                        forecast.meanServiceMs(context.nowNanos()));
    }

    int inFlight() {
        return calls.running();
    }

    boolean isInUse(AttachedBackend candidate) {
        return calls.isInUse(candidate);
    }

    /** Returns the calls that run or may still run because their answer was lost. */
    List<Execution> unsettledCalls() {
        return calls.unsettled();
    }

    void advanceUnkeyedHorizons(long sinceNanos) {
        recordLossDetector.advanceUnkeyedHorizons(sinceNanos);
    }

    void submit(CallerRequest request, long arrivedAtNanos, CompletableFuture<CallerAnswer> result) {
        long deadlineNanos = arrivedAtNanos + TimeUnit.MILLISECONDS.toNanos(request.remainingMs());
        Waiter waiter = new Waiter(request.id(), result, deadlineNanos);
        RoutingSnapshot routing = context.routing();
        Optional<ServiceConfig> serviceConfig = routing.configuration().service(request.service());
        if (!request.service().equals(context.dependencies().service())) {
            refuse(waiter, CallerAnswer.of(ResultCode.NOT_OWNER, "this server does not serve the service"));
        } else if (serviceConfig.isEmpty()) {
            boolean starting = routing.configurationRevision().equals(Revision.NONE);
            refuse(
                    waiter,
                    CallerAnswer.of(
                            starting ? ResultCode.STARTING : ResultCode.UNKNOWN_SERVICE,
                            "the configuration does not contain the service"));
        } else if (serviceConfig.get().keyed() && request.key().isEmpty()) {
            refuse(waiter, CallerAnswer.of(ResultCode.BAD_REQUEST, "the service requires a key"));
        } else {
            submitValidated(request, serviceConfig.get(), waiter);
        }
    }

    private void submitValidated(CallerRequest request, ServiceConfig config, Waiter waiter) {
        KeyHash hash = config.keyed() ? request.key().map(Key::hash).orElseThrow() : KeyHash.MIN;
        long requestDigest = RequestDigest.of(request);
        long nowNanos = context.nowNanos();
        boolean rangeHeld = !config.keyed() || ranges.newest(hash).isPresent();
        Lookup lookup = requestTable.lookup(request, hash, requestDigest, rangeHeld, nowNanos);
        if (lookup.answer().isPresent()) {
            answer(waiter, lookup.answer().get());
            return;
        }
        if (lookup.running().isPresent()) {
            requestTable.addWaiter(lookup.running().get(), waiter);
            return;
        }
        Optional<CallerAnswer> quarantineRefusal =
                context.dependencies().quarantine().refusal(request);
        if (quarantineRefusal.isPresent()) {
            refuse(waiter, quarantineRefusal.get());
            return;
        }
        if (parked.contains(request.id())) {
            refuse(waiter, CallerAnswer.of(ResultCode.DUPLICATE_RUNNING, "a copy of the request is already waiting"));
            return;
        }
        if (config.keyed() && !isDraining() && parked.park(request, hash, waiter, nowNanos)) {
            return;
        }
        ranges.serving(hash).ifPresent(entry -> entry.loadMeter().onRequest(hash));
        forecast.onArrival(request.rules(), nowNanos);
        AdmissionContext admission = admissionContext(request, config, hash, waiter, nowNanos);
        Optional<CallerAnswer> refusal = Admission.refusal(admission, () -> forecast.retryAfterMs(nowNanos))
                .or(() -> linkForecast.refusal(
                        request.rules(),
                        admission.expectedWaitMs() + admission.expectedServiceMs(),
                        admission.remainingMs(),
                        nowNanos));
        if (refusal.isPresent()) {
            refuse(waiter, refusal.get());
            return;
        }
        Execution execution = new Execution(
                request, hash, requestDigest, request.isRepeatable(config), nowNanos, waiter.deadlineNanos());
        requestTable.add(execution);
        requestTable.addWaiter(execution, waiter);
        queue.add(execution);
        dispatch();
    }

    boolean isParked(RequestId id) {
        return parked.contains(id);
    }

    /** Submits the parked requests whose range is served now, and refuses those that must not wait any longer. */
    void processParked(long nowNanos) {
        for (ParkedRequest request : parked.removeServed()) {
            submitValidated(request.request(), context.serviceConfig(), request.waiter());
        }
        for (ParkedRequest request : parked.removeExpired(nowNanos, backend != null && sendingEnabled)) {
            refuse(
                    request.waiter(),
                    CallerAnswer.retryLater(
                            ResultCode.RANGE_MOVING, "the range is being moved", PARK_TIMEOUT_RETRY_AFTER_MS));
        }
    }

    private AdmissionContext admissionContext(
            CallerRequest request, ServiceConfig config, KeyHash hash, Waiter waiter, long nowNanos) {
        return new AdmissionContext(
                hasRequiredLease(config),
                config.keyed() ? ranges.status(hash) : RangeStatus.SERVED,
                isDraining(),
                backend != null,
                config.keyed() && grants.hasLastGrantFailed() && !grants.hasValidGrant(nowNanos),
                recordLossDetector.mayHaveLostRecord(request, config, hash, nowNanos),
                TimeUnit.NANOSECONDS.toMillis(waiter.deadlineNanos() - nowNanos),
                backend != null
                        && queue.exceedsKeyShare(hash, config, backend.info().slots()),
                queue.size(),
                config.maxQueueLength(),
                forecast.occupiedSlots(),
                forecast.concurrencyLimit(nowNanos),
                forecast.expectedWaitMs(request.rules(), nowNanos),
                (long) forecast.presentServiceMs(request.rules(), nowNanos),
                request.rules().map(RequestRules::latencyObjectiveMs).orElse(Long.MAX_VALUE),
                forecast.isOverloaded(request.rules(), nowNanos));
    }

    /** Starts queued requests while slots are free. */
    void dispatch() {
        ServiceConfig config = context.serviceConfig();
        while (backend != null && queue.size() > 0) {
            if (!hasRequiredLease(config)) {
                refuseQueued(ResultCode.LEASE_LAPSED, "the lease is not valid");
                return;
            }
            long nowNanos = context.nowNanos();
            int limit = forecast.concurrencyLimit(nowNanos);
            if (forecast.occupiedSlots() >= limit
                    || !forecast.capacity().maySend(config, nowNanos)
                    || (config.keyed() && !grants.hasValidGrant(nowNanos))) {
                return;
            }
            Optional<Execution> next =
                    queue.peek(config, limit, forecast::serviceMs, quarantinePolicy::mayStart, nowNanos);
            if (next.isEmpty()) {
                return;
            }
            sendOrRefuse(next.get(), config, nowNanos);
        }
    }

    private void sendOrRefuse(Execution execution, ServiceConfig config, long nowNanos) {
        long remainingMs = TimeUnit.NANOSECONDS.toMillis(execution.deadlineNanos() - nowNanos);
        Optional<RangeEntry> entry = ranges.serving(execution.hash());
        Optional<CallerAnswer> quarantineRefusal = quarantinePolicy.refusal(execution);
        if (quarantineRefusal.isPresent()) {
            finishQueued(execution, quarantineRefusal.get());
        } else if (remainingMs < 1) {
            finishQueued(execution, CallerAnswer.of(ResultCode.DEADLINE_EXPIRED, "the deadline expired in the queue"));
        } else if (config.keyed() && entry.isEmpty()) {
            finishQueued(execution, CallerAnswer.of(ResultCode.NOT_OWNER, "this daemon does not serve the range"));
        } else {
            Generation fence = config.keyed() ? entry.orElseThrow().fence() : Generation.NONE;
            send(execution, config, new BackendCall(execution.request().withRemainingMs(remainingMs), fence), nowNanos);
        }
    }

    /** Whether the lease permits requests; it matters only for keys, whose owner another server could replace. */
    private boolean hasRequiredLease(ServiceConfig config) {
        return !config.keyed() || context.isLeaseValid();
    }

    private void send(Execution execution, ServiceConfig config, BackendCall call, long nowNanos) {
        AttachedBackend target = backend;
        if (!hasRequiredLease(config)) {
            finishQueued(execution, CallerAnswer.of(ResultCode.LEASE_LAPSED, "the lease is not valid"));
            return;
        }
        queue.onStart(execution);
        execution.start(target, nowNanos);
        calls.onStart(execution);
        execution.setCallsAtStart(forecast.occupiedSlots());
        forecast.capacity().onSend();
        context.metrics().onExecution();
        context.call(() -> target.server().execute(call), (answer, failure) -> onCallEnd(execution, answer, failure));
    }

    private void onCallEnd(Execution execution, CallerAnswer answer, Throwable failure) {
        long nowNanos = context.nowNanos();
        queue.onEnd(execution);
        forecast.onCallEnd(execution, answer, failure, nowNanos);
        CallerAnswer finalAnswer = failure == null && answer != null
                ? answer
                : failureAnswer(execution, CrankException.of(failure), nowNanos);
        calls.onEnd(execution, finalAnswer.outcome() == Outcome.UNKNOWN);
        forecast.onAnswer(execution, finalAnswer, nowNanos);
        if (finalAnswer.outcome() == Outcome.RUN) {
            linkForecast.onAnswer(execution.request().rules(), finalAnswer.body().length);
        }
        crashDetector.onCallEnd(execution, finalAnswer, nowNanos);
        requestTable.finish(execution, finalAnswer, nowNanos);
        answerAll(execution, finalAnswer);
        callEndListener.run();
    }

    private CallerAnswer failureAnswer(Execution execution, CrankException failure, long nowNanos) {
        if (failure.code() == ResultCode.FENCE_REJECTED) {
            ranges.serving(execution.hash()).ifPresent(entry -> entry.markRejected(nowNanos));
            grants.requestGrant();
        }
        return CallFailureMapper.map(
                failure.code(), execution.isCancelRequested(), () -> forecast.retryAfterMs(nowNanos));
    }

    void cancel(RequestId id) {
        parked.remove(id)
                .ifPresent(p -> refuse(
                        p.waiter(), CallerAnswer.of(ResultCode.CANCELLED, "cancelled before its range was served")));
        Optional<Execution> activeExecution = requestTable.active(id);
        if (activeExecution.isEmpty()) {
            return;
        }
        Execution execution = activeExecution.get();
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

    /** Answers requests that are or will be late; cancels overdue calls that have no waiters or delay a release. */
    void expire(RangeService rangeService, long nowNanos) {
        for (Execution execution : List.copyOf(requestTable.active())) {
            Optional<CallerAnswer> quarantineRefusal =
                    execution.state() == State.QUEUED ? quarantinePolicy.refusal(execution) : Optional.empty();
            if (quarantineRefusal.isPresent()) {
                finishQueued(execution, quarantineRefusal.get());
                continue;
            }
            boolean overdue = nowNanos - execution.deadlineNanos() >= 0;
            if (execution.state() == State.QUEUED && !overdue && forecast.cannotFinishInTime(execution, nowNanos)) {
                finishQueued(
                        execution,
                        CallerAnswer.retryLater(
                                ResultCode.OVERLOADED,
                                "the request cannot finish in time",
                                forecast.retryAfterMs(nowNanos)));
                continue;
            }
            if (execution.state() == State.QUEUED && overdue) {
                finishQueued(
                        execution, CallerAnswer.of(ResultCode.DEADLINE_EXPIRED, "the deadline expired in the queue"));
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
        calls.removeSettled(rangeService.releasePolicy(), nowNanos);
        if (!hasRequiredLease(context.serviceConfig())) {
            refuseQueued(ResultCode.LEASE_LAPSED, "the lease is not valid");
        }
    }

    /** Refuses the queued requests whose key is in no served range. */
    void refuseUnservedRanges() {
        if (context.serviceConfig().keyed()) {
            for (Execution execution :
                    queue.filter(e -> ranges.serving(e.hash()).isEmpty())) {
                finishQueued(execution, CallerAnswer.of(ResultCode.NOT_OWNER, "this daemon does not serve the range"));
            }
        }
    }

    /** Refuses the requests that were not sent: the queued ones and those that wait for their range. */
    void close() {
        refuseQueued(ResultCode.DRAINING, "the gate is closed");
        CallerAnswer refusal = CallerAnswer.of(ResultCode.DRAINING, "the gate is closed");
        parked.removeAll().forEach(request -> refuse(request.waiter(), refusal));
    }

    void refuseQueued(ResultCode code, String detail) {
        queue.filter(e -> true).forEach(execution -> finishQueued(execution, CallerAnswer.of(code, detail)));
    }

    private void finishQueued(Execution execution, CallerAnswer answer) {
        queue.remove(execution);
        execution.end(State.ENDED);
        requestTable.finish(execution, answer, context.nowNanos());
        context.logDecision(
                () -> "event=dequeued request=" + execution.request().id() + " code=" + answer.code());
        answerAll(execution, answer);
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
