package org.coriandercrank.gate.internal;

import java.util.concurrent.TimeUnit;

/**
 * Calls that a backend server may have at a time; between 1 and its slots.
 *
 * <p>After an attach the limit grows from a quarter of the slots to all of them, because a server with cold caches is
 * slower. Each overload answer halves it, at most once per pause, and it returns linearly. Not thread safe.
 */
public final class ConcurrencyLimit {
    private static final double COLD_SHARE = 0.25;
    private static final double OVERLOAD_FACTOR = 0.5;
    private static final long OVERLOAD_PAUSE_MS = 100;

    private final int slots;
    private final long rampNanos;
    private final long recoveryNanos;
    private final long attachedAtNanos;
    private double reducedShare = 1;
    private long reducedAtNanos;

    public ConcurrencyLimit(int slots, long rampMs, long overloadRecoveryMs, long nowNanos) {
        this.slots = slots;
        rampNanos = TimeUnit.MILLISECONDS.toNanos(rampMs);
        recoveryNanos = TimeUnit.MILLISECONDS.toNanos(overloadRecoveryMs);
        attachedAtNanos = nowNanos;
        reducedAtNanos = nowNanos;
    }

    public int limit(long nowNanos) {
        double share = Math.min(rampShare(nowNanos), overloadShare(nowNanos));
        return Math.max(1, Math.min(slots, (int) Math.floor(slots * share)));
    }

    public void onOverload(long nowNanos) {
        if (reducedShare < 1 && nowNanos - reducedAtNanos < TimeUnit.MILLISECONDS.toNanos(OVERLOAD_PAUSE_MS)) {
            return;
        }
        reducedShare = overloadShare(nowNanos) * OVERLOAD_FACTOR;
        reducedAtNanos = nowNanos;
    }

    private double rampShare(long nowNanos) {
        long sinceNanos = nowNanos - attachedAtNanos;
        return sinceNanos >= rampNanos ? 1 : COLD_SHARE + (1 - COLD_SHARE) * sinceNanos / rampNanos;
    }

    private double overloadShare(long nowNanos) {
        double recovered = (double) (nowNanos - reducedAtNanos) / recoveryNanos;
        return Math.min(1, reducedShare + recovered);
    }
}
