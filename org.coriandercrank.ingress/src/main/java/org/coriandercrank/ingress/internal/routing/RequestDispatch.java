package org.coriandercrank.ingress.internal.routing;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.coriandercrank.ingress.ParsedRequest;
import org.coriandercrank.ingress.RequestIds;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.RequestRules;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.placement.BalancingPolicy;
import org.coriandercrank.kernel.plugin.PluginRegistry.Kind;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.kernel.table.RangeAssignment;
import org.coriandercrank.kernel.time.TimerService.Subscription;

/**
 * Routes one request until it has a final answer. Confined to the ingress duty.
 *
 * <p>Invariants: there is at most one outstanding attempt; the result completes exactly once; a send happens only if
 * {@link AttemptHistory#canSend()} allows it; nothing is done for the caller after the result is complete, apart from
 * accounting for late answers.
 */
public final class RequestDispatch {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final DispatchContext context;
    private final CallerRequest request;
    private final ServiceConfig service;
    private final boolean repeatable;
    private final int maxServers;
    private final Optional<KeyHash> keyHash;
    private final AttemptHistory history;
    private final Hold hold;
    private final AttemptSender sender;
    private final long startedAtNanos;
    private final long deadlineNanos;
    private final CompletableFuture<DispatchResult> result;
    private final Set<MemberId> tried = new HashSet<>();

    private int attemptNumber = 1;
    private Optional<MemberId> lastTarget = Optional.empty();
    private Optional<CallerAnswer> lastAnswer = Optional.empty();
    private Subscription deadlineTimer;

    /** @param receivedAtNanos when the request was parsed; its deadline counts from then */
    public RequestDispatch(
            DispatchContext context,
            ParsedRequest.Accepted accepted,
            long receivedAtNanos,
            CompletableFuture<DispatchResult> result) {
        this.context = context;
        this.request = accepted.request();
        this.service = accepted.service();
        this.repeatable = request.isRepeatable(service);
        this.maxServers = request.rules().map(RequestRules::maxServers).orElse(Integer.MAX_VALUE);
        this.keyHash = request.key().map(key -> key.hash());
        this.history = new AttemptHistory(repeatable);
        this.hold = new Hold(
                context.options().rangeMoveWaitMs(),
                context.options().ownerLostWaitMs(),
                context.options().backoffStepMs(),
                context.options().maxBackoffMs());
        this.startedAtNanos = receivedAtNanos;
        this.deadlineNanos = receivedAtNanos + TimeUnit.MILLISECONDS.toNanos(request.remainingMs());
        this.result = result;
        this.sender = new AttemptSender(context, this, history);
    }

    public void start() {
        guarded(this::begin);
    }

    private void begin() {
        budget().request();
        deadlineTimer = after(context.msUntil(deadlineNanos), this::deadlinePassed);
        route("first");
    }

    /** The caller closed its connection. May be called on any thread. */
    public void cancel() {
        post(this::callerGone);
    }

    private void callerGone() {
        if (!isDone()) {
            sender.cancelOutstanding();
            finish(CallerAnswer.of(ResultCode.CANCELLED, "the caller closed its connection"));
        }
    }

    /** Runs a step on the duty; a step that throws ends the request, which would otherwise wait for its deadline. */
    void post(Runnable step) {
        context.post(() -> guarded(step));
    }

    Subscription after(long delayMs, Runnable step) {
        return context.after(delayMs, () -> guarded(step));
    }

    private void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("event=dispatch-failed request=%s", request.id());
            finish(CallerAnswer.of(ResultCode.INTERNAL, "unexpected error"));
        }
    }

    void route(String reason) {
        if (isDone()) {
            return;
        }
        if (context.msUntil(deadlineNanos) == 0) {
            finishExpired();
        } else if (history.sends() >= context.options().maxSendsPerRequest()) {
            finish(lastAnswer.orElseGet(() ->
                    retryLater(ResultCode.NO_OWNER, "no server took the request in " + history.sends() + " sends")));
        } else if (keyHash.isPresent()) {
            routeToOwner(context.parts().view().current(), keyHash.get(), reason);
        } else {
            routeBalanced(context.parts().view().current(), reason);
        }
    }

    private void routeToOwner(RoutingSnapshot snapshot, KeyHash hash, String reason) {
        Optional<RangeAssignment> assignment = snapshot.table(service.name()).flatMap(table -> table.find(hash));
        if (assignment.isEmpty()) {
            holdForTable(retryLater(ResultCode.NO_OWNER, "the key is assigned to no server"), snapshot);
            return;
        }
        MemberId owner = assignment.get().owner();
        if (owner.equals(snapshot.self())) {
            send(Target.local(owner), snapshot, reason);
            return;
        }
        Optional<Member> member = snapshot.member(owner).filter(m -> m.state() != MemberState.SEALED);
        if (member.isEmpty()) {
            holdForTable(retryLater(ResultCode.NO_OWNER, "the owner " + owner + " is lost"), snapshot);
        } else {
            send(Target.remote(member.get()), snapshot, reason);
        }
    }

    private void routeBalanced(RoutingSnapshot snapshot, String reason) {
        BalancingPolicy policy = context.parts().plugins().get(Kind.BALANCING, service.balancingPolicy());
        Optional<Member> chosen =
                context.balancer().choose(snapshot, service, policy, tried, repeatable, context.nowNanos());
        if (chosen.isEmpty()) {
            finish(lastAnswer.orElseGet(
                    () -> retryLater(ResultCode.NO_OWNER, "no server of the service takes requests")));
            return;
        }
        Member member = chosen.get();
        tried.add(member.id());
        boolean local = member.id().equals(snapshot.self());
        send(local ? Target.local(member.id()) : Target.remote(member), snapshot, reason);
    }

    private void send(Target target, RoutingSnapshot snapshot, String reason) {
        lastTarget = Optional.of(target.member());
        RequestId attemptId = RequestIds.forAttempt(request.id(), attemptNumber);
        sender.send(target, request.withId(attemptId), snapshot, reason);
    }

    private RetryBudget budget() {
        return context.budgets().of(service.name(), context.nowNanos());
    }

    Generation generationIn(RoutingSnapshot snapshot) {
        return snapshot.table(service.name()).map(AssignmentTable::generation).orElse(Generation.NONE);
    }

    /** Waits for a snapshot that satisfies a condition, then routes again; gives the refusal when the wait is over. */
    void holdFor(Predicate<RoutingSnapshot> condition, CallerAnswer refusal) {
        long waitMs = Math.min(hold.remainingMs(refusal.code(), context.nowNanos()), context.msUntil(deadlineNanos));
        if (waitMs == 0) {
            finish(refusal);
            return;
        }
        context.parts()
                .view()
                .await(condition, waitMs)
                .whenComplete((snapshot, failure) -> post(() -> {
                    if (failure == null) {
                        route("newer-table");
                    } else {
                        finish(refusal);
                    }
                }));
    }

    private void holdForTable(CallerAnswer refusal, RoutingSnapshot seen) {
        holdFor(ownerChangedSince(seen), refusal);
    }

    /** Whether the table of the service, or what is known of the owner of the key, differs from a snapshot. */
    private Predicate<RoutingSnapshot> ownerChangedSince(RoutingSnapshot seen) {
        Generation generation = generationIn(seen);
        Optional<Member> owner = ownerIn(seen);
        return snapshot -> generationIn(snapshot).isNewerThan(generation)
                || !ownerIn(snapshot).equals(owner);
    }

    private Optional<Member> ownerIn(RoutingSnapshot snapshot) {
        return keyHash.flatMap(hash -> snapshot.table(service.name()).flatMap(table -> table.find(hash)))
                .flatMap(assignment -> snapshot.member(assignment.owner()));
    }

    /**
     * Repeats a refused send after a short pause, or as soon as the owner changes; gives the refusal when the hold is
     * over.
     *
     * @param seen the snapshot that the refused send was based on
     */
    void holdAndRepeat(CallerAnswer refusal, RoutingSnapshot seen) {
        lastAnswer = Optional.of(refusal);
        if (hold.remainingMs(refusal.code(), context.nowNanos()) == 0) {
            finish(refusal);
            return;
        }
        context.parts()
                .view()
                .await(ownerChangedSince(seen), hold.takeBackoffMs())
                .whenComplete((snapshot, failure) -> post(() -> route(failure == null ? "newer-table" : "repeat")));
    }

    /** As {@link #holdAndRepeat}, within the retry budget, because the refused send reached the backend server. */
    void holdAndRetry(CallerAnswer refusal, RoutingSnapshot seen) {
        if (budget().tryRetry(context.nowNanos())) {
            holdAndRepeat(refusal, seen);
        } else {
            context.metrics().budgetRefusal();
            finish(retryLater(ResultCode.RETRY_BUDGET_EXHAUSTED, "last failure: " + refusal.code()));
        }
    }

    /**
     * Sends a further attempt if the history, the ids and the budget allow it. An attempt that reached no server and was
     * not refused for load costs nothing of the budget.
     *
     * @param newId whether a server may have got the last attempt, so that its id must not be used again
     * @param otherwise the answer if there is no further attempt
     */
    void retry(boolean newId, String reason, CallerAnswer otherwise) {
        if (isDone()) {
            return;
        }
        lastAnswer = Optional.of(otherwise);
        boolean idsLeft = !newId || attemptNumber < context.options().maxAttemptIdsPerRequest();
        if (!history.canSend() || !idsLeft || history.mayHaveRunTimes() >= maxServers) {
            finish(otherwise);
        } else if ((newId || isLoad(otherwise.code())) && !budget().tryRetry(context.nowNanos())) {
            context.metrics().budgetRefusal();
            finish(
                    otherwise.code() == ResultCode.OK
                            ? otherwise
                            : retryLater(ResultCode.RETRY_BUDGET_EXHAUSTED, "last failure: " + otherwise.code()));
        } else {
            attemptNumber += newId ? 1 : 0;
            context.metrics().retried();
            route(reason);
        }
    }

    private static boolean isLoad(ResultCode code) {
        return code == ResultCode.OVERLOADED
                || code == ResultCode.KEY_SHARE_EXCEEDED
                || code == ResultCode.FENCE_REJECTED;
    }

    private void deadlinePassed() {
        if (isDone()) {
            return;
        }
        if (history.isPending()) {
            deadlineTimer = after(context.options().answerGracePeriodMs(), this::finishExpired);
        } else {
            finishExpired();
        }
    }

    private void finishExpired() {
        finish(CallerAnswer.of(ResultCode.DEADLINE_EXPIRED, "the deadline of " + request.remainingMs() + " ms passed"));
    }

    void finish(CallerAnswer proposed) {
        if (isDone()) {
            return;
        }
        if (deadlineTimer != null) {
            deadlineTimer.cancel();
        }
        CallerAnswer answer = history.finalAnswer(proposed);
        context.metrics().finished(service.name().value(), answer.code(), context.nowNanos() - startedAtNanos);
        logAnswer(answer.code());
        result.complete(new DispatchResult(answer, lastTarget));
    }

    /** An executed request is told by the line of its attempt alone. */
    private void logAnswer(ResultCode code) {
        if (code != ResultCode.OK) {
            long latencyMs = elapsedMs();
            context.parts()
                    .decisions()
                    .log(() -> "event=answer service=" + service.name()
                            + " keyHash=" + keyHash.map(Object::toString).orElse("-")
                            + " owner=" + lastTarget.map(Object::toString).orElse("-")
                            + " request=" + request.id()
                            + " attempt=" + history.sends()
                            + " result=" + code
                            + " latencyMs=" + latencyMs);
        }
    }

    CallerAnswer retryLater(ResultCode code, String detail) {
        return CallerAnswer.retryLater(code, detail, context.options().defaultRetryAfterMs());
    }

    boolean isDone() {
        return result.isDone();
    }

    boolean isRepeatable() {
        return repeatable;
    }

    CallerRequest request() {
        return request;
    }

    Optional<KeyHash> keyHash() {
        return keyHash;
    }

    long remainingMs() {
        return context.msUntil(deadlineNanos);
    }

    long elapsedMs() {
        return TimeUnit.NANOSECONDS.toMillis(context.nowNanos() - startedAtNanos);
    }
}
