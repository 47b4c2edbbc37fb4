package org.coriandercrank.gate.internal;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.gate.internal.Admission.RangeStanding;
import org.coriandercrank.gate.internal.Admission.Situation;
import org.coriandercrank.gate.internal.Execution.Backend;
import org.coriandercrank.gate.internal.Execution.State;
import org.coriandercrank.gate.internal.Execution.Waiter;
import org.coriandercrank.gate.internal.RequestTable.Lookup;
import org.coriandercrank.kernel.backend.BackendCall;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.Key;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.table.BackendInfo.Capability;

/**
 * Admits requests and runs them at the backend server.
 *
 * <p>Invariants: a call is sent only with a valid lease, a free slot and, for a keyed service, a served and granted
 * range; each execution is started at most once; a slot is taken until the call ends, also when the callers already
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
    private final ServiceTime serviceTime = new ServiceTime();
    private final Set<Execution> running = new LinkedHashSet<>();
    private final List<Execution> lostCalls = new ArrayList<>();
    private final Runnable onEnd;
    private Horizon unkeyedHorizon;
    private Horizon unkeyedDropHorizon = Horizon.UNLIMITED;
    private Backend backend;
    private ConcurrencyLimit concurrency;

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
        unkeyedHorizon = Horizon.since(runtime.nowNanos());
    }

    void attach(Backend newBackend) {
        backend = newBackend;
        concurrency = new ConcurrencyLimit(
                newBackend.info().slots(),
                runtime.options().rampMs(),
                runtime.options().overloadRecoveryMs(),
                runtime.nowNanos());
    }

    int queued() {
        return queue.queued();
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
        unkeyedHorizon = unkeyedHorizon.later(Horizon.since(sinceNanos));
        unkeyedDropHorizon = unkeyedDropHorizon.later(Horizon.since(sinceNanos));
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
        ranges.serving(hash).ifPresent(entry -> entry.load().onRequest(hash));
        Optional<CallerAnswer> refusal = Admission.refusal(situation(request, rules, hash, waiter, nowNanos));
        if (refusal.isPresent()) {
            refuse(waiter, refusal.get());
            return;
        }
        Execution execution =
                new Execution(request, hash, digest, rules.isRepeatable(request.method()), waiter.deadlineNanos());
        requests.add(execution);
        requests.attach(execution, waiter);
        queue.add(execution);
        dispatch();
    }

    private Situation situation(
            CallerRequest request, ServiceConfig rules, KeyHash hash, Waiter waiter, long nowNanos) {
        int limit = backend == null ? 1 : concurrency.limit(nowNanos);
        int before = Math.max(0, queue.queued() + occupiedSlots() + 1 - limit);
        return new Situation(
                runtime.isLeaseValid(),
                standing(rules, hash),
                drain.isDraining(backend),
                backend != null,
                rules.keyed() && grants.isFailing() && !grants.isUsable(nowNanos),
                isRecordLost(request, rules, hash, nowNanos),
                TimeUnit.NANOSECONDS.toMillis(waiter.deadlineNanos() - nowNanos),
                backend != null
                        && queue.exceedsKeyShare(hash, rules, backend.info().slots()),
                queue.queued(),
                rules.maxQueueLength(),
                occupiedSlots(),
                limit,
                serviceTime.expectedWaitMs(before, limit),
                serviceTime.retryAfterMs(queue.queued(), limit));
    }

    private RangeStanding standing(ServiceConfig rules, KeyHash hash) {
        if (!rules.keyed() || ranges.serving(hash).isPresent()) {
            return RangeStanding.SERVED;
        }
        return ranges.newest(hash).isPresent() ? RangeStanding.MOVING : RangeStanding.NOT_SERVED;
    }

    /**
     * Whether an earlier attempt may have run and left no record. The stated age is extended by the time that the
     * request travelled. A stated age of 0 is a first attempt, or a repeat within less than a millisecond; for it only
     * dropped records matter, so that first attempts are admitted right after a takeover.
     */
    private boolean isRecordLost(CallerRequest request, ServiceConfig rules, KeyHash hash, long nowNanos) {
        Optional<RangeEntry> entry = ranges.serving(hash);
        if (request.idempotencyKey().isEmpty() || (rules.keyed() && entry.isEmpty())) {
            return false;
        }
        Horizon horizon = rules.keyed() ? entry.get().horizon() : unkeyedHorizon;
        Horizon dropHorizon = rules.keyed() ? entry.get().dropHorizon() : unkeyedDropHorizon;
        OptionalLong ageMs = request.idempotencyKeyAgeMs();
        if (ageMs.isEmpty()) {
            return !horizon.unlimited();
        }
        long boundedAgeMs = Math.min(ageMs.getAsLong(), Integer.MAX_VALUE)
                + runtime.options().ageMarginMs();
        long firstAttemptNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(boundedAgeMs);
        return !(ageMs.getAsLong() == 0 ? dropHorizon : horizon).covers(firstAttemptNanos);
    }

    /** Starts waiting requests while slots are free. */
    void dispatch() {
        ServiceConfig rules = runtime.rules();
        while (queue.queued() > 0) {
            if (!runtime.isLeaseValid()) {
                refuseQueued(ResultCode.LEASE_LAPSED, "the lease is not valid");
                return;
            }
            long nowNanos = runtime.nowNanos();
            int limit = concurrency.limit(nowNanos);
            if (occupiedSlots() >= limit || (rules.keyed() && !grants.isUsable(nowNanos))) {
                return;
            }
            startOrRefuse(queue.next(rules, limit).orElseThrow(), rules, nowNanos);
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
            start(execution, new BackendCall(execution.request().withRemainingMs(remainingMs), fence), nowNanos);
        }
    }

    private void start(Execution execution, BackendCall call, long nowNanos) {
        Backend target = backend;
        if (!runtime.isLeaseValid()) {
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
            serviceTime.onExecuted(nowNanos - execution.startedAtNanos());
        }
        requests.finish(execution, finalAnswer, nowNanos);
        answerAll(execution, finalAnswer);
        onEnd.run();
    }

    /** Only the codes by which a backend server states that it did not execute the call mean NOT_RUN. */
    private CallerAnswer failureAnswer(Execution execution, CrankException failure, long nowNanos) {
        return switch (failure.code()) {
            case OVERLOADED -> {
                if (execution.backend().equals(backend)) {
                    concurrency.onOverload(nowNanos);
                }
                yield CallerAnswer.retryLater(
                        ResultCode.OVERLOADED,
                        "the backend server is overloaded",
                        serviceTime.retryAfterMs(queue.queued(), concurrency.limit(nowNanos)));
            }
            case FENCE_REJECTED -> {
                grants.requestGrant();
                yield CallerAnswer.retryLater(
                        ResultCode.FENCE_REJECTED, "the backend server rejected the fence", BACKEND_RETRY_MS);
            }
            case BACKEND_UNAVAILABLE ->
                CallerAnswer.retryLater(
                        ResultCode.BACKEND_UNAVAILABLE, "the backend server was not reached", BACKEND_RETRY_MS);
            case DEADLINE_EXPIRED ->
                CallerAnswer.of(ResultCode.DEADLINE_EXPIRED, "the backend server stopped the request at its deadline");
            default ->
                CallerAnswer.of(
                        execution.isCancelRequested() ? ResultCode.CANCELLED_RUNNING : ResultCode.OUTCOME_UNKNOWN,
                        "the answer of the backend server was lost: " + failure.code());
        };
    }

    void cancel(RequestId id) {
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

    /** Answers those whose deadline has passed, and stops calls that nobody waits for or that hold up a release. */
    void expire(RangeService rangeService, long nowNanos) {
        for (Execution execution : List.copyOf(requests.active())) {
            boolean overdue = nowNanos - execution.deadlineNanos() >= 0;
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
        if (!runtime.isLeaseValid()) {
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
