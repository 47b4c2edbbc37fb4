package org.coriandercrank.ingress.internal.routing;

import java.util.ArrayList;
import java.util.List;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.request.CallerAnswer;

/**
 * The attempts of one request and what is known of each; decides what the caller may be told. Not thread safe.
 *
 * <p>Invariants: a final answer says {@code not-run} only if every attempt is proved not to have run and not to run
 * later; a request that is not repeatable has at most one attempt that is not proved so.
 */
public final class AttemptHistory {
    /** What is known of an attempt. */
    public enum Knowledge {
        /** Sent; nothing heard yet. */
        PENDING,
        /** Proved that it neither ran nor will run. */
        NOT_RUN,
        /** The backend server executed it and its answer is known. */
        RAN,
        /** It may have run, or may still run. */
        MAY_HAVE_RUN
    }

    private final boolean repeatable;
    private final List<Knowledge> attempts = new ArrayList<>();

    public AttemptHistory(boolean repeatable) {
        this.repeatable = repeatable;
    }

    /** Whether the request may be sent (again). */
    public boolean canSend() {
        return repeatable ? !isPending() : attempts.stream().allMatch(Knowledge.NOT_RUN::equals);
    }

    /** Records that an attempt is about to be sent; fails if {@link #canSend()} is false. */
    public void begin() {
        if (!canSend()) {
            throw new IllegalStateException("an earlier attempt may have run: " + attempts);
        }
        attempts.add(Knowledge.PENDING);
    }

    /** Records the answer of a gate to the last attempt, also one that an outcome query returned. */
    public void answered(CallerAnswer answer) {
        learn(
                switch (answer.outcome()) {
                    case RUN -> Knowledge.RAN;
                    case NOT_RUN -> Knowledge.NOT_RUN;
                    case UNKNOWN -> Knowledge.MAY_HAVE_RUN;
                });
    }

    /** Records that the last attempt was certainly not handled, or was barred by an outcome query. */
    public void notRun() {
        learn(Knowledge.NOT_RUN);
    }

    /** Records that the answer to the last attempt was lost. */
    public void lost() {
        learn(Knowledge.MAY_HAVE_RUN);
    }

    private void learn(Knowledge knowledge) {
        int last = attempts.size() - 1;
        Knowledge known = attempts.get(last);
        if (known == Knowledge.PENDING || known == Knowledge.MAY_HAVE_RUN) {
            attempts.set(last, knowledge);
        }
    }

    public boolean isPending() {
        return !attempts.isEmpty() && attempts.get(attempts.size() - 1) == Knowledge.PENDING;
    }

    public boolean mayHaveRun() {
        return attempts.stream().anyMatch(k -> k != Knowledge.NOT_RUN);
    }

    /** Attempts that are not proved to have reached no server. */
    public int mayHaveRunTimes() {
        return (int) attempts.stream().filter(k -> k != Knowledge.NOT_RUN).count();
    }

    public int sends() {
        return attempts.size();
    }

    /** The answer for the caller; the proposed one unless that says {@code not-run} without proof. */
    public CallerAnswer finalAnswer(CallerAnswer proposed) {
        if (proposed.outcome() != Outcome.NOT_RUN || !mayHaveRun()) {
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
        boolean lost = attempts.stream().anyMatch(k -> k == Knowledge.MAY_HAVE_RUN);
        return proposed == ResultCode.DEADLINE_EXPIRED && !lost
                ? ResultCode.DEADLINE_EXPIRED_RUNNING
                : ResultCode.OUTCOME_UNKNOWN;
    }
}
