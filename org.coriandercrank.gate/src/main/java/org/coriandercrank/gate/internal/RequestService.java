package org.coriandercrank.gate.internal;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.gate.internal.Admission.RangeStanding;
import org.coriandercrank.gate.internal.Admission.Situation;
import org.coriandercrank.gate.internal.Execution.Backend;
import org.coriandercrank.gate.internal.Execution.State;
import org.coriandercrank.gate.internal.Execution.Waiter;
import org.coriandercrank.gate.internal.ParkedRequests.Parked;
import org.coriandercrank.gate.internal.QueueOrder.Place;
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
    private static final long BACKEND_RETRY_MS = 200;

    private final GateRuntime runtime;
    private final RangeTable ranges;
    private final GrantDriver grants;
    private final RequestTable requests;
    private final DrainState drain;
    private final WorkQueue queue = new WorkQueue();
    private final LoadControl load;
    private final Set<Execution> running = new LinkedHashSet<>();
    private final List<Execution> lostCalls = new ArrayList<>();
    private final ParkedRequests parked;
    private final Runnable onEnd;
    private final RecordLoss recordLoss;
    private Backend backend;
    private ConcurrencyLimit concurrency;
    private boolean sending = true;

    RequestService(
            GateRuntime runtime,
            RangeTable ranges,
            GrantDriver grants,
            RequestTable requests,
            DrainState drain,
            Runnable onEnd) {
        this.runtime = runtime;
        this.ranges = ranges;
        this.grants = grants;
        this.requests = requests;
        this.drain = drain;
        this.onEnd = onEnd;
        parked = new ParkedRequests(runtime, ranges);
        load = new LoadControl(runtime.nowNanos());
        recordLoss = new RecordLoss(runtime, ranges);
    }

    void attach(Backend newBackend) {
        backend = newBackend;
        sending = true;
        concurrency = new ConcurrencyLimit(
                newBackend.info().slots(),
                runtime.options().slowStartMs(),
                runtime.options().overloadRecoveryMs(),
                runtime.nowNanos());
    }

    void detach() {
        backend = null;
    }

    /** Sends the server in use no further request, and refuses those that wait. */
    void stopSending() {
        sending = false;
        refuseQueued(ResultCode.DRAINING, "the server takes no new work");
    }

    private boolean isDraining() {
        return !sending || drain.isDraining(backend);
    }

    int queued() {
        return queue.queued();
    }

    GateLoad load() {
        return backend == null
                ? GateLoad.NONE
                : new GateLoad(queue.queued() + running.size(), concurrency.limit(runtime.nowNanos()), load.meanMs());
    }

    int inFlight() {
        return running.size();
    }

    boolean isInUse(Backend other) {
        return running.stream().anyMatch(r -> r.backend().equals(other));
    }

    /** Calls that run, and those that were lost and may still run. */
    List<Execution> unsettled() {
        List<Execution> calls = new ArrayList<>(running);
        calls.addAll(lostCalls);
        return calls;
    }

    void moveUnkeyedHorizon(long sinceNanos) {
        recordLoss.moveUnkeyedHorizon(sinceNanos);
    }

    void submit(CallerRequest request, long arrivedAtNanos, CompletableFuture<CallerAnswer> result) {
        long deadlineNanos = arrivedAtNanos + TimeUnit.MILLISECONDS.toNanos(request.remainingMs());
        Waiter waiter = new Waiter(request.id(), result, deadlineNanos);
        RoutingSnapshot routing = runtime.routing();
        Optional<ServiceConfig> configured = routing.configuration().service(request.service());
        if (!request.service().equals(runtime.inputs().service())) {
            refuse(waiter, CallerAnswer.of(ResultCode.NOT_OWNER, "the service is not served here"));
        } else if (configured.isEmpty()) {
            boolean starting = routing.configurationRevision().equals(Revision.NONE);
            refuse(
                    waiter,
                    CallerAnswer.of(
                            starting ? ResultCode.STARTING : ResultCode.UNKNOWN_SERVICE,
                            "the configuration does not have the service"));
        } else if (configured.get().keyed() && request.key().isEmpty()) {
            refuse(waiter, CallerAnswer.of(ResultCode.BAD_REQUEST, "the service needs a key"));
        } else {
            submitValid(request, configured.get(), waiter);
        }
    }

    private void submitValid(CallerRequest request, ServiceConfig rules, Waiter waiter) {
        KeyHash hash = rules.keyed() ? request.key().map(Key::hash).orElseThrow() : KeyHash.MIN;
        long digest = RequestDigest.of(request);
        long nowNanos = runtime.nowNanos();
        Lookup known = requests.lookup(request, hash, digest, nowNanos);
        if (known.answer().isPresent()) {
            answer(waiter, known.answer().get());
            return;
        }
        if (known.running().isPresent()) {
            requests.attach(known.running().get(), waiter);
            return;
        }
        if (parked.contains(request.id())) {
            refuse(waiter, CallerAnswer.of(ResultCode.DUPLICATE_RUNNING, "a copy of the request waits for its range"));
            return;
        }
        if (rules.keyed() && !isDraining() && parked.park(request, hash, waiter, nowNanos)) {
            return;
        }
        ranges.serving(hash).ifPresent(entry -> entry.load().onRequest(hash));
        load.onArrival(request.rules(), nowNanos);
        Optional<CallerAnswer> refusal =
                Admission.refusal(situation(request, rules, hash, waiter, nowNanos), () -> retryAfterMs(nowNanos));
        if (refusal.isPresent()) {
            refuse(waiter, refusal.get());
            return;
        }
        Execution execution =
                new Execution(request, hash, digest, request.isRepeatable(rules), nowNanos, waiter.deadlineNanos());
        requests.add(execution);
        requests.attach(execution, waiter);
        queue.add(execution);
        dispatch();
    }

    boolean isParked(RequestId id) {
        return parked.contains(id);
    }

    /** Submits the parked requests whose range is served now, and refuses those whose wait is over. */
    void unpark(long nowNanos) {
        for (Parked p : parked.takeServed()) {
            submitValid(p.request(), runtime.rules(), p.waiter());
        }
        for (Parked p : parked.takeOver(nowNanos, backend != null && sending)) {
            refuse(
                    p.waiter(),
                    CallerAnswer.retryLater(ResultCode.RANGE_MOVING, "the range is being moved", BACKEND_RETRY_MS));
        }
    }

    private Situation situation(
            CallerRequest request, ServiceConfig rules, KeyHash hash, Waiter waiter, long nowNanos) {
        int limit = backend == null ? 1 : concurrency.limit(nowNanos);
        double serviceMs = load.serviceMs(request.rules());
        Place place = QueueOrder.place(request.rules(), nowNanos, serviceMs, nowNanos);
        long waitMs = load.expectedWaitMs(
                queue.aheadMs(place, this::serviceMs, nowNanos), occupiedSlots(), limit, request.rules());
        return new Situation(
                hasNeededLease(rules),
                standing(rules, hash),
                isDraining(),
                backend != null,
                rules.keyed() && grants.isFailing() && !grants.isUsable(nowNanos),
                recordLoss.isPossible(request, rules, hash, nowNanos),
                TimeUnit.NANOSECONDS.toMillis(waiter.deadlineNanos() - nowNanos),
                backend != null
                        && queue.exceedsKeyShare(hash, rules, backend.info().slots()),
                queue.queued(),
                rules.maxQueueLength(),
                occupiedSlots(),
                limit,
                waitMs,
                (long) serviceMs,
                request.rules().map(RequestRules::latencyObjectiveMs).orElse(Long.MAX_VALUE),
                load.isOverloaded(request.rules(), limit, nowNanos));
    }

    private double serviceMs(Execution execution) {
        return load.serviceMs(execution.request().rules());
    }

    /** Time told to a refused caller, from the work that waits now. */
    private long retryAfterMs(long nowNanos) {
        int limit = backend == null ? 1 : concurrency.limit(nowNanos);
        double waitingMs = queue.aheadMs(Place.LAST, this::serviceMs, nowNanos);
        return load.retryAfterMs(
                load.expectedWaitMs(waitingMs, occupiedSlots(), limit, Optional.empty()), limit, nowNanos);
    }

    private RangeStanding standing(ServiceConfig rules, KeyHash hash) {
        if (!rules.keyed() || ranges.serving(hash).isPresent()) {
            return RangeStanding.SERVED;
        }
        return ranges.newest(hash).isPresent() ? RangeStanding.MOVING : RangeStanding.NOT_SERVED;
    }

    /** Starts waiting requests while slots are free. */
    void dispatch() {
        ServiceConfig rules = runtime.rules();
        while (backend != null && queue.queued() > 0) {
            if (!hasNeededLease(rules)) {
                refuseQueued(ResultCode.LEASE_LAPSED, "the lease is not valid");
                return;
            }
            long nowNanos = runtime.nowNanos();
            int limit = concurrency.limit(nowNanos);
            if (occupiedSlots() >= limit || (rules.keyed() && !grants.isUsable(nowNanos))) {
                return;
            }
            startOrRefuse(queue.next(rules, limit, this::serviceMs, nowNanos).orElseThrow(), rules, nowNanos);
        }
    }

    private void startOrRefuse(Execution execution, ServiceConfig rules, long nowNanos) {
        long remainingMs = TimeUnit.NANOSECONDS.toMillis(execution.deadlineNanos() - nowNanos);
        Optional<RangeEntry> entry = ranges.serving(execution.hash());
        if (remainingMs < 1) {
            finishQueued(execution, CallerAnswer.of(ResultCode.DEADLINE_EXPIRED, "the deadline passed in the queue"));
        } else if (rules.keyed() && entry.isEmpty()) {
            finishQueued(execution, CallerAnswer.of(ResultCode.NOT_OWNER, "the range is not served here"));
        } else {
            Generation fence = rules.keyed() ? entry.orElseThrow().fence() : Generation.NONE;
            start(execution, rules, new BackendCall(execution.request().withRemainingMs(remainingMs), fence), nowNanos);
        }
    }

    /** Only keys have an owner that another server could replace. */
    private boolean hasNeededLease(ServiceConfig rules) {
        return !rules.keyed() || runtime.isLeaseValid();
    }

    private void start(Execution execution, ServiceConfig rules, BackendCall call, long nowNanos) {
        Backend target = backend;
        if (!hasNeededLease(rules)) {
            finishQueued(execution, CallerAnswer.of(ResultCode.LEASE_LAPSED, "the lease is not valid"));
            return;
        }
        queue.onStart(execution);
        execution.start(target, nowNanos);
        running.add(execution);
        runtime.metrics().onExecution();
        runtime.call(() -> target.server().execute(call), (answer, failure) -> onCallEnd(execution, answer, failure));
    }

    private void onCallEnd(Execution execution, CallerAnswer answer, Throwable failure) {
        long nowNanos = runtime.nowNanos();
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
            load.onExecuted(execution.request().rules(), nowNanos - execution.startedAtNanos());
        }
        requests.finish(execution, finalAnswer, nowNanos);
        answerAll(execution, finalAnswer);
        onEnd.run();
    }

    private CallerAnswer failureAnswer(Execution execution, CrankException failure, long nowNanos) {
        if (failure.code() == ResultCode.OVERLOADED && execution.backend().equals(backend)) {
            concurrency.onOverload(nowNanos);
        } else if (failure.code() == ResultCode.FENCE_REJECTED) {
            ranges.serving(execution.hash()).ifPresent(entry -> entry.reject(nowNanos));
            grants.requestGrant();
        }
        return CallFailures.answer(failure.code(), execution.isCancelRequested(), () -> retryAfterMs(nowNanos));
    }

    void cancel(RequestId id) {
        parked.take(id)
                .ifPresent(p -> refuse(
                        p.waiter(), CallerAnswer.of(ResultCode.CANCELLED, "cancelled before its range was served")));
        Optional<Execution> found = requests.active(id);
        if (found.isEmpty()) {
            return;
        }
        Execution execution = found.get();
        boolean shared = execution.hasWaitersBeside(id);
        if (execution.state() == State.QUEUED && !shared) {
            finishQueued(execution, CallerAnswer.of(ResultCode.CANCELLED, "cancelled in the queue"));
            dispatch();
        } else if (shared || !execution.backend().has(Capability.CANCEL)) {
            CallerAnswer unknown =
                    CallerAnswer.of(ResultCode.CANCELLED_RUNNING, "cancelled; the request may still be executed");
            execution.detach(w -> w.id().equals(id)).forEach(w -> answer(w, unknown));
        } else {
            execution.requestCancel();
            execution.sendCancel();
        }
    }

    /** Whether a waiting request has no chance: no time is left, or those in time take all that the server can do. */
    private boolean isHopeless(Execution execution, long nowNanos) {
        long remainingMs = TimeUnit.NANOSECONDS.toMillis(execution.deadlineNanos() - nowNanos);
        if (remainingMs < Admission.LEAST_SERVICE_SHARE * serviceMs(execution)) {
            return true;
        }
        Place place = QueueOrder.place(execution, this::serviceMs, nowNanos);
        return place.late()
                && backend != null
                && load.isOverloaded(execution.request().rules(), concurrency.limit(nowNanos), nowNanos);
    }

    /** Answers those whose deadline has passed, and stops calls that nobody waits for or that hold up a release. */
    void expire(RangeService rangeService, long nowNanos) {
        for (Execution execution : List.copyOf(requests.active())) {
            boolean overdue = nowNanos - execution.deadlineNanos() >= 0;
            if (execution.state() == State.QUEUED && !overdue && isHopeless(execution, nowNanos)) {
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
            for (Waiter waiter : execution.detach(w -> nowNanos - w.deadlineNanos() >= 0)) {
                answer(waiter, CallerAnswer.of(code, code.description()));
            }
            if (overdue && (!execution.hasWaiters() || rangeService.isReleasing(execution.hash()))) {
                execution.sendCancel();
            }
        }
        lostCalls.removeIf(call -> call.isSettled(rangeService.rules(), false, nowNanos));
        if (!hasNeededLease(runtime.rules())) {
            refuseQueued(ResultCode.LEASE_LAPSED, "the lease is not valid");
        }
    }

    /** Answers the waiting requests that no served range contains. */
    void refuseUnserved() {
        if (runtime.rules().keyed()) {
            for (Execution execution :
                    queue.matching(e -> ranges.serving(e.hash()).isEmpty())) {
                finishQueued(execution, CallerAnswer.of(ResultCode.NOT_OWNER, "the range is not served here"));
            }
        }
    }

    void refuseQueued(ResultCode code, String detail) {
        for (Execution execution : queue.matching(e -> true)) {
            finishQueued(execution, CallerAnswer.of(code, detail));
        }
    }

    private void finishQueued(Execution execution, CallerAnswer answer) {
        queue.remove(execution);
        execution.end(State.ENDED);
        requests.finish(execution, answer, runtime.nowNanos());
        runtime.logDecision(
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
        execution.detach(w -> true).forEach(w -> answer(w, answer));
    }

    private void refuse(Waiter waiter, CallerAnswer answer) {
        runtime.logDecision(() -> "event=refused request=" + waiter.id() + " code=" + answer.code());
        answer(waiter, answer);
    }

    private void answer(Waiter waiter, CallerAnswer answer) {
        runtime.metrics().onAnswer(answer.code());
        waiter.result().complete(answer);
    }
}
