package org.coriandercrank.ingress.internal.routing;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.ingress.internal.routing.AttemptSender.Attempt;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.message.OutcomeAnswer;
import org.coriandercrank.kernel.message.OutcomeQuery;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.table.MemberState;

/**
 * Queries the outcome of an attempt of a non-repeatable request whose answer was lost. Confined to the ingress
 * executor.
 *
 * <p>Queries go only to the member to which the attempt was sent, because no other gate can determine its outcome. The
 * caller gets {@code OUTCOME_UNKNOWN} as soon as that member can no longer answer, and at the deadline at the latest.
 */
final class OutcomeResolver {
    /** Covers the rounding of the clocks; the age of the attempt must not be stated too low. */
    private static final long SENT_AGO_MARGIN_MS = 50;

    private final DispatchContext context;
    private final RequestDispatch dispatch;
    private final AttemptHistory history;
    private final AttemptSender sender;
    private final Attempt attempt;
    private final PeerTarget peer;
    private long backoffMs;

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
        this.backoffMs = context.options().backoffStepMs();
    }

    /** Sends one query. Further ones follow until the outcome is known or the request has its final answer. */
    void query() {
        long remainingMs = dispatch.remainingMs();
        if (dispatch.isDone() || remainingMs == 0) {
            return;
        }
        context.metrics().countOutcomeQuery();
        long timeoutMs = Math.min(remainingMs, context.options().outcomeQueryTimeoutMs());
        // The owner compares the age with its own on the arrival of the query, which may be as late as the timeout.
        long sentAgoMs = TimeUnit.NANOSECONDS.toMillis(context.suspensionAwareNanos() - attempt.sentAtNanos())
                + timeoutMs
                + SENT_AGO_MARGIN_MS;
        OutcomeQuery query = new OutcomeQuery(
                attempt.id(), dispatch.request().service(), dispatch.keyHash(), OptionalLong.of(sentAgoMs));
        context.dependencies()
                .peerClient()
                .call(peer, query, OutcomeAnswer.class, timeoutMs)
                .whenComplete((answer, failure) -> dispatch.execute(() -> {
                    if (failure == null) {
                        onQueryAnswer(answer);
                    } else {
                        onQueryFailure(CrankException.of(failure));
                    }
                }));
    }

    private void onQueryAnswer(OutcomeAnswer answer) {
        sender.logAttempt(attempt, "OUTCOME_" + answer.state());
        if (dispatch.isDone()) {
            return;
        }
        switch (answer.state()) {
            case FINISHED -> sender.handleAnswer(attempt, answer.answer().orElseThrow(), attempt.generation());
            case RUNNING -> queryLater();
            case BARRED -> {
                history.recordNotRun();
                dispatch.retry(
                        true,
                        "barred",
                        dispatch.retryLaterAnswer(
                                ResultCode.OWNER_UNREACHABLE, "the owner did not receive the request"));
            }
            case RELEASED -> {
                history.recordNotRun();
                dispatch.retry(
                        false,
                        "released",
                        dispatch.retryLaterAnswer(ResultCode.NO_OWNER, "the range of the request has moved"));
            }
            case UNKNOWN -> finishWithUnknownOutcome("the owner has no record of the request");
        }
    }

    private void onQueryFailure(CrankException failure) {
        sender.logAttempt(attempt, "OUTCOME_QUERY_" + failure.code());
        if (dispatch.isDone()) {
            return;
        }
        if (failure.code() == ResultCode.WRONG_MEMBER || isMemberRemoved()) {
            finishWithUnknownOutcome("the owner " + peer.member() + " is lost");
        } else {
            queryLater();
        }
    }

    /** Whether the member is sealed or no longer in the snapshot; such an incarnation never answers again. */
    private boolean isMemberRemoved() {
        return context.dependencies()
                .routingView()
                .current()
                .member(peer.member())
                .map(member -> member.state() == MemberState.SEALED)
                .orElse(true);
    }

    private void queryLater() {
        dispatch.schedule(backoffMs, this::query);
        backoffMs = Math.min(context.options().maxBackoffMs(), 2 * backoffMs);
    }

    private void finishWithUnknownOutcome(String detail) {
        dispatch.finish(CallerAnswer.of(ResultCode.OUTCOME_UNKNOWN, detail));
    }
}
