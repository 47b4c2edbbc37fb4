package org.coriandercrank.gate.internal;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.coriandercrank.kernel.id.RequestId;

/**
 * The submitted requests that wait in the task queue of the gate. Thread safe.
 *
 * <p>A cancellation takes effect here at once, because in the task queue it would run only after the request that it
 * cancels.
 */
public final class PendingSubmissions {
    /** The newest submission of each id; earlier ones of the id are linked from it. */
    private final ConcurrentMap<RequestId, Submission> newestById = new ConcurrentHashMap<>();

    /** A submitted request. Thread safe. */
    public static final class Submission {
        private final RequestId id;
        private final Submission previous;
        private volatile boolean cancelled;

        private Submission(RequestId id, Submission previous) {
            this.id = id;
            this.previous = previous;
        }

        /** Whether the request was cancelled after it was submitted. */
        public boolean isCancelled() {
            return cancelled;
        }
    }

    public Submission add(RequestId id) {
        return newestById.compute(id, (key, previous) -> new Submission(key, previous));
    }

    public void remove(Submission submission) {
        newestById.remove(submission.id, submission);
    }

    /** Cancels the submissions of an id so far; later ones are not affected. */
    public void cancel(RequestId id) {
        for (Submission submission = newestById.get(id); submission != null; submission = submission.previous) {
            submission.cancelled = true;
        }
    }
}
