package org.coriandercrank.gate.internal;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.RequestFingerprint;

/**
 * Remembers which requests the backend servers of this gate answered in the last 10 to 20 s. Constant memory: above its
 * limit it forgets early. Not thread safe.
 */
final class RecentAnswers {
    /**
     * Long enough for an answer to most requests that come so often that several crashes meet them by chance. A request
     * that begins to crash servers is reported only after this time without an answer.
     */
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Bounds the memory; a server that answers more different requests than this in a window reports some in vain. */
    private static final int MAX_REQUESTS_PER_WINDOW = 16_384;

    private Set<RequestFingerprint> current = new HashSet<>();
    private Set<RequestFingerprint> previous = new HashSet<>();
    private long windowStartNanos;

    RecentAnswers(long nowNanos) {
        windowStartNanos = nowNanos;
    }

    /** Adds a request, and the requests of any caller with its content. */
    void add(RequestFingerprint request, long nowNanos) {
        rotateIfDue(nowNanos);
        if (current.size() < MAX_REQUESTS_PER_WINDOW) {
            current.add(request);
            current.add(request.ofAnyCaller());
        }
    }

    boolean contains(RequestFingerprint request, long nowNanos) {
        rotateIfDue(nowNanos);
        return current.contains(request) || previous.contains(request);
    }

    private void rotateIfDue(long nowNanos) {
        long elapsedNanos = nowNanos - windowStartNanos;
        if (elapsedNanos >= WINDOW_NANOS) {
            previous = elapsedNanos < 2 * WINDOW_NANOS ? current : new HashSet<>();
            current = new HashSet<>();
            windowStartNanos = nowNanos;
        }
    }
}
