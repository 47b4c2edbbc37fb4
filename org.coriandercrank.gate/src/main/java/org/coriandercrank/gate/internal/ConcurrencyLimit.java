package org.coriandercrank.gate.internal;

import java.util.concurrent.TimeUnit;

/**
 * Calls that a backend server may have at a time; between 1 and its slots.
 *
 * <p>After an attach the limit grows from a quarter of the slots to all of them, because a server with cold caches is
 * slower. Each overload answer halves it, at most once per pause, and it returns linearly. Not thread safe.
 */
public final class ConcurrencyLimit {
    private static final double INITIAL_SLOT_SHARE = 0.25;
    private static final double OVERLOAD_REDUCTION_FACTOR = 0.5;
    private static final long MIN_REDUCTION_INTERVAL_MS = 100;

    private final int slots;
    private final long slowStartNanos;
    private final long recoveryNanos;
    private final long attachedAtNanos;
    private double reducedShare = 1;
    private long reducedAtNanos;

    public ConcurrencyLimit(int slots, long slowStartMs, long overloadRecoveryMs, long nowNanos) {
        this.slots = slots;
        slowStartNanos = TimeUnit.MILLISECONDS.toNanos(slowStartMs);
        recoveryNanos = TimeUnit.MILLISECONDS.toNanos(overloadRecoveryMs);
        attachedAtNanos = nowNanos;
        reducedAtNanos = nowNanos;
    }

    public int limit(long nowNanos) {
        double share = Math.min(slowStartShare(nowNanos), overloadShare(nowNanos));
        return Math.max(1, Math.min(slots, (int) Math.floor(slots * share)));
    }

    public void onOverload(long nowNanos) {
        if (reducedShare < 1 && nowNanos - reducedAtNanos < TimeUnit.MILLISECONDS.toNanos(MIN_REDUCTION_INTERVAL_MS)) {
            return;
        }
        reducedShare = overloadShare(nowNanos) * OVERLOAD_REDUCTION_FACTOR;
        reducedAtNanos = nowNanos;
    }

    private double slowStartShare(long nowNanos) {
        long elapsedNanos = nowNanos - attachedAtNanos;
        return elapsedNanos >= slowStartNanos ? 1 : INITIAL_SLOT_SHARE + (1 - INITIAL_SLOT_SHARE) * elapsedNanos / slowStartNanos;
    }

    private double overloadShare(long nowNanos) {
        double recovered = (double) (nowNanos - reducedAtNanos) / recoveryNanos;
        return Math.min(1, reducedShare + recovered);
    }
}
