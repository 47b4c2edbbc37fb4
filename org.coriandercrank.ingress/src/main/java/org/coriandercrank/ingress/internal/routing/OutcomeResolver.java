package org.coriandercrank.ingress.internal.routing;

import org.coriandercrank.ingress.internal.routing.AttemptSender.Attempt;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.message.OutcomeAnswer;
import org.coriandercrank.kernel.message.OutcomeQuery;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.table.MemberState;

/**
 * Finds out what became of an attempt of a non-repeatable request whose answer was lost. Confined to the ingress duty.
 *
 * <p>Only the member that the attempt was sent to is asked: no other gate can tell. The request gets the answer
 * {@code OUTCOME_UNKNOWN} as soon as that member can no longer answer, and at the deadline at the latest.
 */
final class OutcomeResolver {
    private final DispatchContext context;
    private final RequestDispatch dispatch;
    private final AttemptHistory history;
    private final AttemptSender sender;
    private final Attempt attempt;
    private final PeerTarget peer;
    private long pauseMs;

    OutcomeResolver(
            DispatchContext context,
            RequestDispatch dispatch,
            AttemptHistory history,
            AttemptSender sender,
            Attempt attempt) {
        this.context = context;
        this.dispatch = dispatch;
        this.history = history;
        this.sender = sender;
        this.attempt = attempt;
        this.peer = attempt.target().peer().orElseThrow();
        this.pauseMs = context.options().backoffStepMs();
    }

    void query() {
        long remainingMs = dispatch.remainingMs();
        if (dispatch.isDone() || remainingMs == 0) {
            return;
        }
        context.metrics().outcomeQuery();
        OutcomeQuery query = new OutcomeQuery(attempt.id(), dispatch.request().service(), dispatch.keyHash());
        context.parts()
                .peers()
                .call(
                        peer,
                        query,
                        OutcomeAnswer.class,
                        Math.min(remainingMs, context.options().outcomeQueryTimeoutMs()))
                .whenComplete((answer, failure) -> dispatch.post(() -> {
                    if (failure == null) {
                        onAnswer(answer);
                    } else {
                        onFailure(CrankException.of(failure));
                    }
                }));
    }

    private void onAnswer(OutcomeAnswer answer) {
        sender.log(attempt, "OUTCOME_" + answer.state());
        if (dispatch.isDone()) {
            return;
        }
        switch (answer.state()) {
            case FINISHED -> sender.resolved(attempt, answer.answer().orElseThrow(), attempt.generation());
            case RUNNING -> queryLater();
            case BARRED -> {
                history.notRun();
                dispatch.retry(
                        true,
                        "barred",
                        dispatch.retryLater(ResultCode.OWNER_UNREACHABLE, "the owner did not get the request"));
            }
            case UNKNOWN -> finishUnknown("the owner has no record of the request");
        }
    }

    private void onFailure(CrankException failure) {
        sender.log(attempt, "OUTCOME_QUERY_" + failure.code());
        if (dispatch.isDone()) {
            return;
        }
        if (failure.code() == ResultCode.WRONG_MEMBER || isGone()) {
            finishUnknown("the owner " + peer.member() + " is lost");
        } else {
            queryLater();
        }
    }

    /** A sealed or forgotten incarnation never answers again. */
    private boolean isGone() {
        return context.parts()
                .view()
                .current()
                .member(peer.member())
                .map(member -> member.state() == MemberState.SEALED)
                .orElse(true);
    }

    private void queryLater() {
        dispatch.after(pauseMs, this::query);
        pauseMs = Math.min(context.options().maxBackoffMs(), 2 * pauseMs);
    }

    private void finishUnknown(String detail) {
        dispatch.finish(CallerAnswer.of(ResultCode.OUTCOME_UNKNOWN, detail));
    }
}
