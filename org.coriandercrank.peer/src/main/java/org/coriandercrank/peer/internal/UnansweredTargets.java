package org.coriandercrank.peer.internal;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.peer.PeerTarget;

/**
 * Daemons that recently did not answer an attempt to connect, for example because they lost power or are behind a
 * partition. A daemon that rejects an attempt is not among them, because it costs callers no time. Thread safe.
 */
final class UnansweredTargets {
    /** An attempt that fails sooner was answered, if only by a rejection. */
    private static final long MIN_UNANSWERED_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** After this time without an attempt, the next caller waits for one again. */
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final int MAX_TARGETS = 4_096;

    /** When the last attempt failed. */
    private final Map<PeerTarget, Long> failedAtNanos = new ConcurrentHashMap<>();

    void attemptFailed(PeerTarget target, long startedNanos, long nowNanos) {
        if (nowNanos - startedNanos < MIN_UNANSWERED_NANOS) {
            failedAtNanos.remove(target);
            return;
        }
        if (failedAtNanos.size() >= MAX_TARGETS) {
            failedAtNanos.clear();
        }
        failedAtNanos.put(target, nowNanos);
    }

    void remove(PeerTarget target) {
        failedAtNanos.remove(target);
    }

    boolean contains(PeerTarget target, long nowNanos) {
        Long failedNanos = failedAtNanos.get(target);
        return failedNanos != null && nowNanos - failedNanos < RETENTION_NANOS;
    }
}
