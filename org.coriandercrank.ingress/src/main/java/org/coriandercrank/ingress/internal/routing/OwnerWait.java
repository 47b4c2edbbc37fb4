package org.coriandercrank.ingress.internal.routing;

import org.coriandercrank.kernel.code.ResultCode;

/**
 * Limits how long one request waits while its range moves or its owner is lost. Not thread safe; the current time is
 * passed as an argument.
 *
 * <p>The limit of every cause counts from the first wait of the request, so that a sequence of causes cannot extend the
 * total wait.
 */
final class OwnerWait {
    private static final long NANOS_PER_MS = 1_000_000;

    private final long rangeMoveWaitMs;
    private final long ownerLostWaitMs;
    private final long backoffStepMs;
    private final long maxBackoffMs;
    private long nextBackoffMs;
    private boolean started;
    private long startedAtNanos;

    OwnerWait(long rangeMoveWaitMs, long ownerLostWaitMs, long backoffStepMs, long maxBackoffMs) {
        this.rangeMoveWaitMs = rangeMoveWaitMs;
        this.ownerLostWaitMs = ownerLostWaitMs;
        this.backoffStepMs = backoffStepMs;
        this.nextBackoffMs = backoffStepMs;
        this.maxBackoffMs = maxBackoffMs;
    }

    /**
     * Time that the request can still wait for this cause; 0 if the limit is reached. The first call starts the wait.
     */
    long remainingMs(ResultCode cause, long nowNanos) {
        if (!started) {
            started = true;
            startedAtNanos = nowNanos;
        }
        return Math.max(0, limitMs(cause) - (nowNanos - startedAtNanos) / NANOS_PER_MS);
    }

    /**
     * Returns the time to wait before a refused request is sent again, and increases it for the next call. The backoff
     * grows linearly, because with a doubling backoff the end of a range move of 80 ms was noticed only after 155 ms.
     */
    long takeNextBackoffMs() {
        long backoffMs = nextBackoffMs;
        nextBackoffMs = Math.min(maxBackoffMs, nextBackoffMs + backoffStepMs);
        return backoffMs;
    }

    private long limitMs(ResultCode cause) {
        return switch (cause) {
            case NO_OWNER, OWNER_UNREACHABLE, LEASE_LAPSED -> ownerLostWaitMs;
            default -> rangeMoveWaitMs;
        };
    }
}
