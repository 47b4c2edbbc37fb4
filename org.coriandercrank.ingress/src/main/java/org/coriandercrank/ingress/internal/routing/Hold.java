package org.coriandercrank.ingress.internal.routing;

import org.coriandercrank.kernel.code.ResultCode;

/**
 * Bounded wait of one request while its range moves or its owner is lost. Not thread safe; time is an argument.
 *
 * <p>All waits of a request count from the first one, so that a sequence of causes cannot extend the bound.
 */
final class Hold {
    private static final long NANOS_PER_MS = 1_000_000;

    private final long moveWaitMs;
    private final long ownerLostWaitMs;
    private final long backoffMs;
    private final long maxBackoffMs;
    private long nextBackoffMs;
    private boolean started;
    private long startedAtNanos;

    Hold(long moveWaitMs, long ownerLostWaitMs, long backoffMs, long maxBackoffMs) {
        this.moveWaitMs = moveWaitMs;
        this.ownerLostWaitMs = ownerLostWaitMs;
        this.backoffMs = backoffMs;
        this.nextBackoffMs = backoffMs;
        this.maxBackoffMs = maxBackoffMs;
    }

    /** Time that a request may still wait for this cause; 0 if none. */
    long remainingMs(ResultCode cause, long nowNanos) {
        if (!started) {
            started = true;
            startedAtNanos = nowNanos;
        }
        return Math.max(0, limitMs(cause) - (nowNanos - startedAtNanos) / NANOS_PER_MS);
    }

    /**
     * The next pause before a refused send is repeated. Each pause is longer by the first one: with doubling, a move of
     * 80 ms was noticed only after 155 ms.
     */
    long takeBackoffMs() {
        long pauseMs = nextBackoffMs;
        nextBackoffMs = Math.min(maxBackoffMs, nextBackoffMs + backoffMs);
        return pauseMs;
    }

    private long limitMs(ResultCode cause) {
        return switch (cause) {
            case NO_OWNER, OWNER_UNREACHABLE, LEASE_LAPSED -> ownerLostWaitMs;
            default -> moveWaitMs;
        };
    }
}
