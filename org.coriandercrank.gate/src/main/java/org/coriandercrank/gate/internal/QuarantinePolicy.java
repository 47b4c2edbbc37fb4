package org.coriandercrank.gate.internal;

import java.util.Optional;
import org.coriandercrank.kernel.ownership.RequestQuarantine;
import org.coriandercrank.kernel.request.CallerAnswer;

/**
 * Decides which requests must not start because they crash servers, or may do so.
 *
 * <p>Invariant: of the requests that are suspect or confined, at most one runs at a time, so that a crash can be due to
 * only one of them. Not thread safe.
 */
final class QuarantinePolicy {
    private final RequestQuarantine quarantine;
    private final BackendCalls calls;

    QuarantinePolicy(RequestQuarantine quarantine, BackendCalls calls) {
        this.quarantine = quarantine;
        this.calls = calls;
    }

    /** Returns the answer that refuses a queued request, or empty if it may be sent. */
    Optional<CallerAnswer> refusal(Execution execution) {
        return quarantine.refusal(execution.request());
    }

    /** Whether a request may start beside those that run. */
    boolean mayStart(Execution execution) {
        return !runsAlone(execution) || !calls.anyRunning(this::runsAlone);
    }

    private boolean runsAlone(Execution execution) {
        return quarantine.status(execution.request()).runsAlone();
    }
}
