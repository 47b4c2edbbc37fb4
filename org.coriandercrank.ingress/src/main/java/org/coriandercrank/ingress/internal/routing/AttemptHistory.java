package org.coriandercrank.ingress.internal.routing;

import java.util.ArrayList;
import java.util.List;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.request.CallerAnswer;

/**
 * The attempts of one request and the state of each. Decides whether a further attempt is allowed and which outcome is
 * reported to the caller. Not thread safe.
 *
 * <p>Invariants: the outcome of the final answer is {@code not-run} only if every attempt provably did not run and will
 * not run. A request that is not repeatable has at most one attempt without that proof.
 */
public final class AttemptHistory {
    /** What is known about an attempt. */
    public enum AttemptState {
        /** Sent, without any result yet. */
        PENDING,
        /** It provably did not run and will not run. */
        NOT_RUN,
        /** The backend server executed it and its answer is known. */
        RAN,
        /** It may have run, or may still run. */
        MAY_HAVE_RUN
    }

    private final boolean repeatable;
    private final List<AttemptState> attempts = new ArrayList<>();

    public AttemptHistory(boolean repeatable) {
        this.repeatable = repeatable;
    }

    /** Whether the request may be sent, for the first time or again. */
    public boolean canSend() {
        return repeatable ? !isLastAttemptPending() : attempts.stream().allMatch(AttemptState.NOT_RUN::equals);
    }

    /**
     * Adds an attempt, which is about to be sent.
     *
     * @throws IllegalStateException if {@link #canSend()} is false
     */
    public void recordSend() {
        if (!canSend()) {
            throw new IllegalStateException("an earlier attempt may have run: " + attempts);
        }
        attempts.add(AttemptState.PENDING);
    }

    /** Records the answer of a gate to the last attempt, received directly or from an outcome query. */
    public void recordAnswer(CallerAnswer answer) {
        updateLastAttempt(
                switch (answer.outcome()) {
                    case RUN -> AttemptState.RAN;
                    case NOT_RUN -> AttemptState.NOT_RUN;
                    case UNKNOWN -> AttemptState.MAY_HAVE_RUN;
                });
    }

    /** Records that the last attempt provably was not handled, or was barred by an outcome query. */
    public void recordNotRun() {
        updateLastAttempt(AttemptState.NOT_RUN);
    }

    /** Records that the answer to the last attempt was lost. */
    public void recordLostAnswer() {
        updateLastAttempt(AttemptState.MAY_HAVE_RUN);
    }

    private void updateLastAttempt(AttemptState newState) {
        int last = attempts.size() - 1;
        AttemptState state = attempts.get(last);
        if (state == AttemptState.PENDING || state == AttemptState.MAY_HAVE_RUN) {
            attempts.set(last, newState);
        }
    }

    public boolean isLastAttemptPending() {
        return !attempts.isEmpty() && attempts.get(attempts.size() - 1) == AttemptState.PENDING;
    }

    /** Whether the last attempt provably did not run and will not run. */
    public boolean isLastAttemptNotRun() {
        return !attempts.isEmpty() && attempts.get(attempts.size() - 1) == AttemptState.NOT_RUN;
    }

    public boolean mayAnyHaveRun() {
        return attempts.stream().anyMatch(state -> state != AttemptState.NOT_RUN);
    }

    /** Number of attempts that ran, may have run or may still run. */
    public int possiblyRunCount() {
        return (int)
                attempts.stream().filter(state -> state != AttemptState.NOT_RUN).count();
    }

    public int sendCount() {
        return attempts.size();
    }

    /** The proposed answer, but with outcome {@code unknown} if it claims {@code not-run} without proof. */
    public CallerAnswer finalAnswer(CallerAnswer proposed) {
        if (proposed.outcome() != Outcome.NOT_RUN || !mayAnyHaveRun()) {
            return proposed;
        }
        ResultCode code = codeIfMayHaveRun(proposed.code());
        return new CallerAnswer(
                code, Outcome.UNKNOWN, code.httpStatus(), proposed.headers(), proposed.body(), proposed.retryAfterMs());
    }

    private ResultCode codeIfMayHaveRun(ResultCode proposed) {
        if (proposed == ResultCode.CANCELLED) {
            return ResultCode.CANCELLED_RUNNING;
        }
        boolean answerLost = attempts.stream().anyMatch(state -> state == AttemptState.MAY_HAVE_RUN);
        return proposed == ResultCode.DEADLINE_EXPIRED && !answerLost
                ? ResultCode.DEADLINE_EXPIRED_RUNNING
                : ResultCode.OUTCOME_UNKNOWN;
    }
}
