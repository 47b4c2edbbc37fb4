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
import org.coriandercrank.kernel.ownership.RequestQuarantine;
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
 * Routes one request until it has a final answer. Confined to the ingress executor, except for {@link #cancel()}.
 *
 * <p>Invariants: there is at most one outstanding attempt. The result completes exactly once. An attempt is sent only
 * if {@link AttemptHistory#canSend()} allows it. After the result is complete, late answers are only recorded in the
 * balancer and the log.
 */
public final class RequestDispatch {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** A caller waits for the Retry-After and then needs about as long for its second attempt. */
    private static final int MIN_OBJECTIVE_TO_RETURN_FACTOR = 2;

    /** Half of the time for which the HTTP server waits for responses when it is closed. */
    private static final long ANSWER_WAIT_AT_SHUTDOWN_MS = 250;

    private final DispatchContext context;
    private final CallerRequest request;
    private final ServiceConfig service;
    private final long configurationVersion;
    private final boolean repeatable;
    private final int maxServers;
    private final Optional<KeyHash> keyHash;
    private final AttemptHistory history;
    private final OwnerWait ownerWait;
    private final AttemptSender attemptSender;
    private final long startedAtNanos;
    private final long deadlineNanos;
    private final CompletableFuture<DispatchResult> result;
    private final Set<MemberId> triedMembers = new HashSet<>();

    /** Number in the current attempt id. It does not change when the request is sent again under the same id. */
    private int attemptNumber = 1;

    private Optional<MemberId> lastTarget = Optional.empty();
    private Optional<CallerAnswer> lastAnswer = Optional.empty();
    private Subscription deadlineTimer;

    /** Set when the caller leaves; the cancellation itself waits behind earlier tasks of the executor. */
    private volatile boolean callerLeft;

    /**
     * @param configurationVersion version of the configuration that has the service
     * @param receivedAtNanos clock time when the request was received, from which its deadline counts
     */
    public RequestDispatch(
            DispatchContext context,
            ParsedRequest.Accepted accepted,
            long configurationVersion,
            long receivedAtNanos,
            CompletableFuture<DispatchResult> result) {
        this.context = context;
        this.request = accepted.request();
        this.service = accepted.service();
        this.configurationVersion = configurationVersion;
        this.repeatable = request.isRepeatable(service);
        this.maxServers = request.rules().map(RequestRules::maxServers).orElse(Integer.MAX_VALUE);
        this.keyHash = request.key().map(key -> key.hash());
        this.history = new AttemptHistory(repeatable);
        this.ownerWait = new OwnerWait(
                context.options().rangeMoveWaitMs(),
                context.options().ownerLostWaitMs(),
                context.options().backoffStepMs(),
                context.options().maxBackoffMs());
        this.startedAtNanos = receivedAtNanos;
        this.deadlineNanos = receivedAtNanos + TimeUnit.MILLISECONDS.toNanos(request.remainingMs());
        this.result = result;
        this.attemptSender = new AttemptSender(context, this, history);
    }

    /** Starts routing. Must be called once, on the ingress executor. */
    public void start() {
        runGuarded(this::begin);
    }

    private void begin() {
        retryBudget().recordRequest();
        deadlineTimer = schedule(context.msUntil(deadlineNanos), this::onDeadline);
        route("first");
    }

    /** Cancels the request, because the caller closed its connection. Can be called on any thread. */
    public void cancel() {
        callerLeft = true;
        execute(this::onCallerDisconnected);
    }

    /**
     * Gives the request its final answer, because the process ends: not run, or an unknown outcome if an attempt may have
     * run. An outstanding attempt may still be answered for a moment. Must be called on the ingress executor.
     */
    public void shutDown() {
        long waitMs = history.isLastAttemptPending() ? ANSWER_WAIT_AT_SHUTDOWN_MS : 0;
        schedule(waitMs, () -> finish(CallerAnswer.of(ResultCode.DRAINING, "this daemon ends; use another one")));
    }

    private void onCallerDisconnected() {
        if (!isDone()) {
            attemptSender.cancelOutstanding();
            finish(CallerAnswer.of(ResultCode.CANCELLED, "the caller closed its connection"));
        }
    }

    /**
     * Runs a step on the ingress executor. A step that throws finishes the request, which would otherwise stay
     * unanswered until its deadline.
     */
    void execute(Runnable step) {
        context.execute(() -> runGuarded(step));
    }

    Subscription schedule(long delayMs, Runnable step) {
        return context.schedule(delayMs, () -> runGuarded(step));
    }

    private void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("event=dispatch-failed request=%s", request.id());
            finish(CallerAnswer.of(ResultCode.INTERNAL, "unexpected error"));
        }
    }

    /**
     * Chooses a target in the current snapshot and sends the next attempt, or finishes the request.
     *
     * @param reason why the request is routed, for the decision log
     */
    void route(String reason) {
        if (isDone()) {
            return;
        }
        Optional<CallerAnswer> quarantineRefusal =
                context.dependencies().quarantine().refusal(request);
        if (callerLeft) {
            onCallerDisconnected();
        } else if (context.msUntil(deadlineNanos) == 0) {
            finishDeadlineExpired();
        } else if (quarantineRefusal.isPresent()) {
            finish(quarantineRefusal.get());
        } else if (history.sendCount() >= context.options().maxSendsPerRequest()) {
            finish(lastAnswer.orElseGet(() -> retryLaterAnswer(
                    ResultCode.NO_OWNER, "no server accepted the request in " + history.sendCount() + " sends")));
        } else if (keyHash.isPresent()) {
            routeToOwner(context.dependencies().routingView().current(), keyHash.get(), reason);
        } else {
            routeLoadBalanced(context.dependencies().routingView().current(), reason);
        }
    }

    private void routeToOwner(RoutingSnapshot snapshot, KeyHash hash, String reason) {
        Optional<RangeAssignment> assignment = snapshot.table(service.name()).flatMap(table -> table.find(hash));
        if (assignment.isEmpty()) {
            routeAfterOwnerChange(retryLaterAnswer(ResultCode.NO_OWNER, "the key is assigned to no server"), snapshot);
            return;
        }
        MemberId owner = assignment.get().owner();
        Optional<CallerAnswer> regionRefusal = RegionRefusals.ofOwner(context, request, owner, snapshot);
        if (regionRefusal.isPresent()) {
            finish(regionRefusal.get());
            return;
        }
        if (snapshot.isEvacuated(service.name())) {
            finish(retryLaterAnswer(ResultCode.DRAINING, "all servers of the service are evacuated"));
            return;
        }
        if (owner.equals(snapshot.self())) {
            send(Target.local(owner), snapshot, reason);
            return;
        }
        Optional<Member> member = snapshot.member(owner).filter(m -> m.state() != MemberState.SEALED);
        if (member.isEmpty()) {
            routeAfterOwnerChange(retryLaterAnswer(ResultCode.NO_OWNER, "the owner " + owner + " is lost"), snapshot);
        } else {
            send(Target.remote(member.get()), snapshot, reason);
        }
    }

    private void routeLoadBalanced(RoutingSnapshot snapshot, String reason) {
        Optional<Member> chosen = chooseServer(snapshot);
        if (chosen.isEmpty()) {
            finish(lastAnswer.orElseGet(() -> RegionRefusals.noServer(context, request)));
            return;
        }
        Member member = chosen.get();
        triedMembers.add(member.id());
        boolean local = member.id().equals(snapshot.self());
        send(local ? Target.local(member.id()) : Target.remote(member), snapshot, reason);
    }

    private Optional<Member> chooseServer(RoutingSnapshot snapshot) {
        if (context.dependencies().quarantine().status(request) == RequestQuarantine.Status.CONFINED) {
            return request.fingerprint()
                    .flatMap(fingerprint -> context.balancer()
                            .chooseConfined(snapshot, service, fingerprint, triedMembers, request.rules()));
        }
        BalancingPolicy policy = context.dependencies().pluginRegistry().get(Kind.BALANCING, service.balancingPolicy());
        return context.balancer()
                .choose(snapshot, service, policy, triedMembers, request.rules(), repeatable, context.nowNanos());
    }

    private void send(Target target, RoutingSnapshot snapshot, String reason) {
        lastTarget = Optional.of(target.member());
        RequestId attemptId = RequestIds.forAttempt(request.id(), attemptNumber);
        attemptSender.send(target, request.withId(attemptId), snapshot, reason);
    }

    private RetryBudget retryBudget() {
        return context.retryBudgets().forService(service.name(), context.nowNanos());
    }

    Generation generationIn(RoutingSnapshot snapshot) {
        return snapshot.table(service.name()).map(AssignmentTable::generation).orElse(Generation.NONE);
    }

    /**
     * Waits for a snapshot that satisfies a condition and routes the request again. If the wait times out, the request
     * finishes with the refusal.
     */
    void routeWhen(Predicate<RoutingSnapshot> condition, CallerAnswer refusal) {
        long waitMs =
                Math.min(ownerWait.remainingMs(refusal.code(), context.nowNanos()), context.msUntil(deadlineNanos));
        if (waitMs == 0) {
            finish(refusal);
            return;
        }
        context.dependencies()
                .routingView()
                .await(condition, waitMs)
                .whenComplete((snapshot, failure) -> execute(() -> {
                    if (failure == null) {
                        route("newer-table");
                    } else {
                        finish(refusal);
                    }
                }));
    }

    private void routeAfterOwnerChange(CallerAnswer refusal, RoutingSnapshot attemptSnapshot) {
        routeWhen(ownerChangedSince(attemptSnapshot), refusal);
    }

    /**
     * A condition that is true if the service has a newer table than in the given snapshot, or if the owner of the key
     * or its member record is different.
     */
    private Predicate<RoutingSnapshot> ownerChangedSince(RoutingSnapshot attemptSnapshot) {
        Generation generation = generationIn(attemptSnapshot);
        Optional<Member> owner = ownerIn(attemptSnapshot);
        return snapshot -> generationIn(snapshot).isNewerThan(generation)
                || !ownerIn(snapshot).equals(owner);
    }

    private Optional<Member> ownerIn(RoutingSnapshot snapshot) {
        return keyHash.flatMap(hash -> snapshot.table(service.name()).flatMap(table -> table.find(hash)))
                .flatMap(assignment -> snapshot.member(assignment.owner()));
    }

    /**
     * Sends a refused request again after a backoff, or as soon as the owner changes. If the request must not wait any
     * longer, it finishes with the refusal.
     *
     * @param attemptSnapshot the snapshot on which the refused attempt was based
     */
    void resendLater(CallerAnswer refusal, RoutingSnapshot attemptSnapshot) {
        lastAnswer = Optional.of(refusal);
        if (ownerWait.remainingMs(refusal.code(), context.nowNanos()) == 0) {
            finish(refusal);
            return;
        }
        context.dependencies()
                .routingView()
                .await(ownerChangedSince(attemptSnapshot), ownerWait.takeNextBackoffMs())
                .whenComplete((snapshot, failure) -> execute(() -> route(failure == null ? "newer-table" : "repeat")));
    }

    /**
     * Like {@link #resendLater}, but takes a retry from the retry budget, because the refused attempt reached the
     * backend server.
     */
    void resendLaterWithinBudget(CallerAnswer refusal, RoutingSnapshot attemptSnapshot) {
        if (retryBudget().tryRetry(canCallerReturn(), context.nowNanos())) {
            resendLater(refusal, attemptSnapshot);
        } else {
            context.metrics().countRetryBudgetRefusal();
            finish(retryLaterAnswer(ResultCode.RETRY_BUDGET_EXHAUSTED, "last failure: " + refusal.code()));
        }
    }

    /**
     * Sends a further attempt if the history, the limits on attempt ids and servers, and the retry budget allow it. The
     * retry does not count against the budget if the last attempt provably did not run and was not refused because of
     * overload. In particular, a barred attempt never reached its server.
     *
     * @param newId whether a server may have received the last attempt, so that its id must not be used again
     * @param fallback the answer to finish with if there is no further attempt
     */
    void retry(boolean newId, String reason, CallerAnswer fallback) {
        if (isDone()) {
            return;
        }
        lastAnswer = Optional.of(fallback);
        boolean idsLeft = !newId || attemptNumber < context.options().maxAttemptIdsPerRequest();
        if (!history.canSend() || !idsLeft || history.possiblyRunCount() >= maxServers) {
            finish(fallback);
        } else if ((!history.isLastAttemptNotRun() || countsAgainstRetryBudget(fallback.code()))
                && !retryBudget().tryRetry(canCallerReturn(), context.nowNanos())) {
            context.metrics().countRetryBudgetRefusal();
            finish(
                    fallback.code() == ResultCode.OK
                            ? fallback
                            : retryLaterAnswer(ResultCode.RETRY_BUDGET_EXHAUSTED, "last failure: " + fallback.code()));
        } else {
            attemptNumber += newId ? 1 : 0;
            context.metrics().countRetry();
            route(reason);
        }
    }

    /**
     * Whether the caller can repeat a refused request itself within its latency objective. Without an objective nothing
     * is known, and the request is treated as one that cannot be repeated.
     */
    private boolean canCallerReturn() {
        return request.rules()
                .map(rules -> rules.latencyObjectiveMs()
                        > MIN_OBJECTIVE_TO_RETURN_FACTOR * context.options().defaultRetryAfterMs())
                .orElse(false);
    }

    /** Whether a retry after this refusal counts against the retry budget although the attempt did not run. */
    private static boolean countsAgainstRetryBudget(ResultCode code) {
        return code == ResultCode.OVERLOADED
                || code == ResultCode.KEY_SHARE_EXCEEDED
                || code == ResultCode.FENCE_REJECTED;
    }

    private void onDeadline() {
        if (isDone()) {
            return;
        }
        if (history.isLastAttemptPending()) {
            deadlineTimer = schedule(context.options().answerGracePeriodMs(), this::finishDeadlineExpired);
        } else {
            finishDeadlineExpired();
        }
    }

    private void finishDeadlineExpired() {
        finish(CallerAnswer.of(ResultCode.DEADLINE_EXPIRED, "the deadline of " + request.remainingMs() + " ms passed"));
    }

    /** Finishes the request, unless it is finished already. The history can change the outcome of the answer. */
    void finish(CallerAnswer proposed) {
        if (isDone()) {
            return;
        }
        if (deadlineTimer != null) {
            deadlineTimer.cancel();
        }
        CallerAnswer answer = history.finalAnswer(proposed);
        context.metrics().recordRequest(service.name().value(), answer.code(), context.nowNanos() - startedAtNanos);
        logAnswer(answer.code());
        result.complete(new DispatchResult(answer, lastTarget));
    }

    /** Logs the final answer, except that of an executed request, for which the line of its last attempt is enough. */
    private void logAnswer(ResultCode code) {
        if (code != ResultCode.OK) {
            long latencyMs = elapsedMs();
            context.dependencies()
                    .decisionLog()
                    .log(() -> "event=answer service=" + service.name()
                            + " keyHash=" + keyHash.map(Object::toString).orElse("-")
                            + " owner=" + lastTarget.map(Object::toString).orElse("-")
                            + " request=" + request.id()
                            + " fingerprint="
                            + request.fingerprint().map(Object::toString).orElse("-")
                            + " attempt=" + history.sendCount()
                            + " result=" + code
                            + " latencyMs=" + latencyMs
                            + configurationFields());
        }
    }

    CallerAnswer retryLaterAnswer(ResultCode code, String detail) {
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

    /** Returns the fields of a log line that tell by which configuration the request is routed. */
    String configurationFields() {
        return context.configurationFields(configurationVersion);
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
