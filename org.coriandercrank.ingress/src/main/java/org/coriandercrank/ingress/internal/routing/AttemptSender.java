package org.coriandercrank.ingress.internal.routing;

import java.util.Optional;
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
 * Sends the attempts of one request and decides what follows from the result of each. Confined to the ingress duty.
 *
 * <p>A late result of an attempt whose request already has its final answer changes only counters.
 */
final class AttemptSender {
    private static final int SERVER_ERROR_STATUS = 500;

    private final DispatchContext context;
    private final RequestDispatch dispatch;
    private final AttemptHistory history;
    /** The attempt that may still run; a lost one stays here while its outcome is asked for. */
    private Optional<Attempt> outstanding = Optional.empty();

    /** One send. Immutable. */
    record Attempt(
            Target target, RequestId id, RoutingSnapshot snapshot, Generation generation, int number, String reason) {}

    AttemptSender(DispatchContext context, RequestDispatch dispatch, AttemptHistory history) {
        this.context = context;
        this.dispatch = dispatch;
        this.history = history;
    }

    void send(Target target, CallerRequest request, RoutingSnapshot snapshot, String reason) {
        history.begin();
        Generation generation = dispatch.generationIn(snapshot);
        Attempt attempt = new Attempt(target, request.id(), snapshot, generation, history.sends(), reason);
        outstanding = Optional.of(attempt);
        if (isBalanced()) {
            context.balancer().sent(target.member());
        }
        long remainingMs = dispatch.remainingMs();
        CallerRequest timed = request.withRemainingMs(remainingMs);
        if (target.peer().isEmpty()) {
            context.parts()
                    .gate()
                    .submit(timed)
                    .whenComplete((answer, failure) -> dispatch.post(() -> {
                        if (failure == null) {
                            learnLoad(attempt, context.parts().gate().load());
                            onAnswer(attempt, answer, generation);
                        } else {
                            onFailure(attempt, CrankException.of(failure));
                        }
                    }));
            return;
        }
        context.metrics().forwarded();
        context.parts()
                .peers()
                .call(
                        target.peer().get(),
                        new ForwardRequest(timed, generation),
                        ForwardAnswer.class,
                        remainingMs + context.options().answerGracePeriodMs())
                .whenComplete((forwarded, failure) -> dispatch.post(() -> {
                    if (failure == null) {
                        learnLoad(attempt, forwarded.load());
                        onAnswer(attempt, forwarded.answer(), forwarded.tableGeneration());
                    } else {
                        onFailure(attempt, CrankException.of(failure));
                    }
                }));
    }

    private void learnLoad(Attempt attempt, GateLoad load) {
        if (isBalanced()) {
            context.balancer().learnLoad(attempt.target().member(), load, context.nowNanos());
        }
    }

    /** Asks the gate that has the outstanding attempt, if there is one, to stop it. */
    void cancelOutstanding() {
        if (outstanding.isEmpty()) {
            return;
        }
        Attempt attempt = outstanding.get();
        Optional<PeerTarget> peer = attempt.target().peer();
        if (peer.isPresent()) {
            context.parts().peers().send(peer.get(), new CancelRequest(attempt.id()));
        } else {
            context.parts().gate().cancel(attempt.id());
        }
    }

    private void onAnswer(Attempt attempt, CallerAnswer answer, Generation gateGeneration) {
        settle(attempt, answer.code(), didWell(answer));
        if (!dispatch.isDone()) {
            resolved(attempt, answer, gateGeneration);
        }
    }

    /** Whether the server did well; empty if the answer says nothing about it, as a refusal because of load. */
    private static Optional<Boolean> didWell(CallerAnswer answer) {
        return switch (answer.code()) {
            case OK -> Optional.of(answer.status() < SERVER_ERROR_STATUS);
            case BACKEND_UNAVAILABLE, OUTCOME_UNKNOWN, DEADLINE_EXPIRED_RUNNING, INTERNAL -> Optional.of(false);
            default -> Optional.empty();
        };
    }

    /** Acts on an answer of a gate, given directly or by an outcome query. */
    void resolved(Attempt attempt, CallerAnswer answer, Generation gateGeneration) {
        history.answered(answer);
        if (answer.code() == ResultCode.BARRED) {
            dispatch.retry(true, "barred", answer);
        } else if (answer.code() == ResultCode.OK && answer.status() >= SERVER_ERROR_STATUS && history.canSend()) {
            dispatch.retry(true, "server-error", answer);
        } else if (!history.canSend() || answer.code() == ResultCode.OK) {
            dispatch.finish(answer);
        } else if (isBalanced()) {
            onBalancedRefusal(answer);
        } else {
            onOwnerRefusal(attempt, answer, gateGeneration);
        }
    }

    private void onBalancedRefusal(CallerAnswer answer) {
        switch (answer.code()) {
            case OVERLOADED, BACKEND_UNAVAILABLE, DRAINING, LEASE_LAPSED, STARTING, NOT_OWNER, NO_OWNER ->
                dispatch.retry(false, "refused", answer);
            default -> dispatch.finish(answer);
        }
    }

    private void onOwnerRefusal(Attempt attempt, CallerAnswer answer, Generation gateGeneration) {
        switch (answer.code()) {
            case NOT_OWNER -> {
                if (attempt.target().peer().isPresent()) {
                    context.metrics().extraHop();
                }
                if (gateGeneration.isNewerThan(attempt.generation())) {
                    dispatch.holdFor(snapshot -> !gateGeneration.isNewerThan(dispatch.generationIn(snapshot)), answer);
                } else {
                    dispatch.holdAndRepeat(answer, attempt.snapshot());
                }
            }
            case FENCE_REJECTED -> dispatch.holdAndRetry(answer, attempt.snapshot());
            case RANGE_MOVING, LEASE_LAPSED, STARTING, DRAINING, NO_OWNER ->
                dispatch.holdAndRepeat(answer, attempt.snapshot());
            default -> dispatch.finish(answer);
        }
    }

    private void onFailure(Attempt attempt, CrankException failure) {
        settle(attempt, failure.code(), Optional.of(false));
        if (dispatch.isDone()) {
            return;
        }
        switch (failure.code()) {
            case PEER_UNREACHABLE, WRONG_MEMBER, UNSUPPORTED_MESSAGE -> onNotHandled(attempt, failure);
            default -> onLost(attempt, failure);
        }
    }

    private void onNotHandled(Attempt attempt, CrankException failure) {
        history.notRun();
        CallerAnswer refusal = dispatch.retryLater(
                ResultCode.OWNER_UNREACHABLE, attempt.target().member() + " cannot be reached: " + failure.code());
        if (isBalanced()) {
            dispatch.retry(false, "unreachable", refusal);
        } else if (attempt.target().region().equals(Optional.of(context.parts().region()))) {
            dispatch.holdAndRepeat(refusal, attempt.snapshot());
        } else {
            dispatch.finish(refusal);
        }
    }

    private void onLost(Attempt attempt, CrankException failure) {
        history.lost();
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

    /** @param success whether the server did well; empty if the result says nothing about it */
    private void settle(Attempt attempt, ResultCode code, Optional<Boolean> success) {
        outstanding = Optional.empty();
        if (isBalanced()) {
            context.balancer().finished(attempt.target().member());
            success.ifPresent(ok -> context.balancer()
                    .result(dispatch.request().service(), attempt.target().member(), ok, context.nowNanos()));
        }
        log(attempt, code.name());
    }

    /** Writes the decision line of an attempt. */
    void log(Attempt attempt, String result) {
        long latencyMs = dispatch.elapsedMs();
        context.parts()
                .decisions()
                .log(() -> "event=route service=" + dispatch.request().service()
                        + " keyHash=" + dispatch.keyHash().map(Object::toString).orElse("-")
                        + " owner=" + attempt.target().member()
                        + " request=" + attempt.id()
                        + " attempt=" + attempt.number()
                        + " reason=" + attempt.reason()
                        + " result=" + result
                        + " latencyMs=" + latencyMs);
    }

    private boolean isBalanced() {
        return dispatch.keyHash().isEmpty();
    }
}
