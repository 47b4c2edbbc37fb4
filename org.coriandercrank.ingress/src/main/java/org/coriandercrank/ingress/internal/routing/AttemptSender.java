package org.coriandercrank.ingress.internal.routing;

import java.util.Optional;
import java.util.OptionalLong;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.message.CancelRequest;
import org.coriandercrank.kernel.message.ForwardAnswer;
import org.coriandercrank.kernel.message.ForwardRequest;
import org.coriandercrank.kernel.ownership.GateLoad;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;

/**
 * Sends the attempts of one request and decides how to continue after the result of each. Confined to the ingress
 * executor.
 *
 * <p>If the request already has its final answer, a late result only updates the balancer and the log.
 */
final class AttemptSender {
    private static final int SERVER_ERROR_STATUS = 500;

    private final DispatchContext context;
    private final RequestDispatch dispatch;
    private final AttemptHistory history;

    /** The attempt that may still run. After a lost answer it stays set while its outcome is queried. */
    private Optional<Attempt> outstanding = Optional.empty();

    /**
     * One send of the request. Immutable.
     *
     * @param id request id of the attempt
     * @param snapshot routing state on which the choice of the target is based
     * @param generation generation of the service's table in that snapshot
     * @param number number of the send, from 1 on
     * @param reason why the request was sent, for the decision log
     * @param sentAtNanos time of the send on the clock that includes suspensions of the host
     * @param reportAgeMs age of the load report on which the choice of the server is based; empty without one
     */
    record Attempt(
            Target target,
            RequestId id,
            RoutingSnapshot snapshot,
            Generation generation,
            int number,
            String reason,
            long sentAtNanos,
            OptionalLong reportAgeMs) {}

    AttemptSender(DispatchContext context, RequestDispatch dispatch, AttemptHistory history) {
        this.context = context;
        this.dispatch = dispatch;
        this.history = history;
    }

    /** Sends an attempt to the local gate, or forwards it to the daemon of the target. */
    void send(Target target, CallerRequest request, RoutingSnapshot snapshot, String reason) {
        history.recordSend();
        Generation generation = dispatch.generationIn(snapshot);
        Attempt attempt = new Attempt(
                target,
                request.id(),
                snapshot,
                generation,
                history.sendCount(),
                reason,
                context.suspensionAwareNanos(),
                isLoadBalanced()
                        ? context.balancer().reportAgeMs(target.member(), context.nowNanos())
                        : OptionalLong.empty());
        attempt.reportAgeMs().ifPresent(context.metrics()::recordReportAge);
        outstanding = Optional.of(attempt);
        if (isLoadBalanced()) {
            context.balancer().recordSend(target.member(), context.nowNanos());
        }
        long remainingMs = dispatch.remainingMs();
        CallerRequest requestWithRemainingTime = request.withRemainingMs(remainingMs);
        if (target.peer().isEmpty()) {
            context.dependencies()
                    .ownerGate()
                    .submit(requestWithRemainingTime)
                    .whenComplete((answer, failure) -> dispatch.execute(() -> {
                        if (failure == null) {
                            recordLoad(
                                    attempt, context.dependencies().ownerGate().load());
                            onGateAnswer(attempt, answer, generation);
                        } else {
                            onFailure(attempt, CrankException.of(failure));
                        }
                    }));
            return;
        }
        context.metrics().countForward();
        context.dependencies()
                .peerClient()
                .call(
                        target.peer().get(),
                        new ForwardRequest(requestWithRemainingTime, generation),
                        ForwardAnswer.class,
                        remainingMs + context.options().answerGracePeriodMs())
                .whenComplete((forwardAnswer, failure) -> dispatch.execute(() -> {
                    if (failure == null) {
                        recordLoad(attempt, forwardAnswer.load());
                        onGateAnswer(attempt, forwardAnswer.answer(), forwardAnswer.tableGeneration());
                    } else {
                        onFailure(attempt, CrankException.of(failure));
                    }
                }));
    }

    private void recordLoad(Attempt attempt, GateLoad load) {
        if (isLoadBalanced()) {
            context.balancer().recordLoad(attempt.target().member(), load, context.nowNanos());
        }
    }

    /** Asks the gate that received the outstanding attempt, if there is one, to cancel it. */
    void cancelOutstanding() {
        if (outstanding.isEmpty()) {
            return;
        }
        Attempt attempt = outstanding.get();
        Optional<PeerTarget> peer = attempt.target().peer();
        if (peer.isPresent()) {
            context.dependencies().peerClient().send(peer.get(), new CancelRequest(attempt.id()));
        } else {
            context.dependencies().ownerGate().cancel(attempt.id());
        }
    }

    private void onGateAnswer(Attempt attempt, CallerAnswer answer, Generation gateGeneration) {
        recordResult(attempt, answer.code(), serverSuccess(answer));
        if (!dispatch.isDone()) {
            handleAnswer(attempt, answer, gateGeneration);
        }
    }

    /**
     * Whether the server handled the attempt well; empty if the answer does not show it, such as an overload refusal.
     */
    private static Optional<Boolean> serverSuccess(CallerAnswer answer) {
        return switch (answer.code()) {
            case OK -> Optional.of(answer.status() < SERVER_ERROR_STATUS);
            case BACKEND_UNAVAILABLE, OUTCOME_UNKNOWN, DEADLINE_EXPIRED_RUNNING, INTERNAL -> Optional.of(false);
            default -> Optional.empty();
        };
    }

    /** Continues after the answer of a gate, received directly or from an outcome query. */
    void handleAnswer(Attempt attempt, CallerAnswer answer, Generation gateGeneration) {
        history.recordAnswer(answer);
        if (answer.code() == ResultCode.BARRED) {
            dispatch.retry(true, "barred", answer);
        } else if (answer.code() == ResultCode.OK && answer.status() >= SERVER_ERROR_STATUS && history.canSend()) {
            dispatch.retry(true, "server-error", answer);
        } else if (!history.canSend() || answer.code() == ResultCode.OK) {
            dispatch.finish(answer);
        } else if (isLoadBalanced()) {
            onLoadBalancedRefusal(answer);
        } else {
            onOwnerRefusal(attempt, answer, gateGeneration);
        }
    }

    private void onLoadBalancedRefusal(CallerAnswer answer) {
        switch (answer.code()) {
            case OVERLOADED,
                    BACKEND_UNAVAILABLE,
                    DRAINING,
                    LEASE_LAPSED,
                    STARTING,
                    NOT_OWNER,
                    NO_OWNER,
                    REGION_NOT_ALLOWED -> dispatch.retry(false, "refused", answer);
            default -> dispatch.finish(answer);
        }
    }

    private void onOwnerRefusal(Attempt attempt, CallerAnswer answer, Generation gateGeneration) {
        switch (answer.code()) {
            case NOT_OWNER -> {
                if (attempt.target().peer().isPresent()) {
                    context.metrics().countExtraHop();
                }
                if (gateGeneration.isNewerThan(attempt.generation())) {
                    dispatch.routeWhen(
                            snapshot -> !gateGeneration.isNewerThan(dispatch.generationIn(snapshot)), answer);
                } else {
                    dispatch.resendLater(answer, attempt.snapshot());
                }
            }
            case FENCE_REJECTED -> dispatch.resendLaterWithinBudget(answer, attempt.snapshot());
            case RANGE_MOVING, LEASE_LAPSED, STARTING, DRAINING, NO_OWNER ->
                dispatch.resendLater(answer, attempt.snapshot());
            default -> dispatch.finish(answer);
        }
    }

    private void onFailure(Attempt attempt, CrankException failure) {
        recordResult(attempt, failure.code(), Optional.of(false));
        if (dispatch.isDone()) {
            return;
        }
        switch (failure.code()) {
            case PEER_UNREACHABLE, WRONG_MEMBER, UNSUPPORTED_MESSAGE -> onNotHandled(attempt, failure);
            default -> onAnswerLost(attempt, failure);
        }
    }

    private void onNotHandled(Attempt attempt, CrankException failure) {
        history.recordNotRun();
        CallerAnswer refusal = dispatch.retryLaterAnswer(
                ResultCode.OWNER_UNREACHABLE, attempt.target().member() + " cannot be reached: " + failure.code());
        if (isLoadBalanced()) {
            dispatch.retry(false, "unreachable", refusal);
        } else if (attempt.target()
                .region()
                .equals(Optional.of(context.dependencies().region()))) {
            dispatch.resendLater(refusal, attempt.snapshot());
        } else {
            // An unreachable owner in another region can still renew its lease there, so no new owner is to be
            // expected.
            dispatch.finish(refusal);
        }
    }

    private void onAnswerLost(Attempt attempt, CrankException failure) {
        history.recordLostAnswer();
        if (dispatch.isRepeatable()) {
            dispatch.retry(
                    true,
                    "lost",
                    CallerAnswer.of(ResultCode.OUTCOME_UNKNOWN, "the answer was lost: " + failure.code()));
        } else if (attempt.target().peer().isPresent()) {
            outstanding = Optional.of(attempt);
            new OutcomeResolver(context, dispatch, history, this, attempt).query();
        } else {
            dispatch.finish(CallerAnswer.of(ResultCode.OUTCOME_UNKNOWN, "the local gate failed"));
        }
    }

    /** @param success whether the server handled the attempt well; empty if the result does not show it */
    private void recordResult(Attempt attempt, ResultCode code, Optional<Boolean> success) {
        outstanding = Optional.empty();
        if (isLoadBalanced()) {
            context.balancer().recordFinish(attempt.target().member());
            success.ifPresent(successful -> context.balancer()
                    .recordResult(
                            dispatch.request().service(), attempt.target().member(), successful, context.nowNanos()));
        }
        logAttempt(attempt, code.name());
    }

    /** Writes the result of an attempt to the decision log. */
    void logAttempt(Attempt attempt, String result) {
        long latencyMs = dispatch.elapsedMs();
        context.dependencies()
                .decisionLog()
                .log(() -> "event=route service=" + dispatch.request().service()
                        + " keyHash=" + dispatch.keyHash().map(Object::toString).orElse("-")
                        + " owner=" + attempt.target().member()
                        + " request=" + attempt.id()
                        + " attempt=" + attempt.number()
                        + " reason=" + attempt.reason()
                        + reportField(attempt)
                        + " result=" + result
                        + " latencyMs=" + latencyMs
                        + dispatch.configurationFields());
    }

    private String reportField(Attempt attempt) {
        if (!isLoadBalanced()) {
            return "";
        }
        OptionalLong ageMs = attempt.reportAgeMs();
        return " reportAgeMs=" + (ageMs.isPresent() ? Long.toString(ageMs.getAsLong()) : "none");
    }

    private boolean isLoadBalanced() {
        return dispatch.keyHash().isEmpty();
    }
}
