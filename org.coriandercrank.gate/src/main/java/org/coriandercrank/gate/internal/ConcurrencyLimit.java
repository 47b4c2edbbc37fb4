package org.coriandercrank.gate.internal;

import java.util.concurrent.TimeUnit;

/**
 * Limits the number of concurrent calls to a backend server, between 1 and the number of its slots.
 *
 * <p>After the server was attached, the limit grows linearly from a quarter of the slots to all of them (slow start),
 * because a server with cold caches is slower. Each answer that reports overload halves the limit, at most once per
 * minimum interval; afterwards the limit recovers linearly. Not thread safe.
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

    /** Returns the number of calls that may run at a time. */
    public int limit(long nowNanos) {
        double share = Math.min(slowStartShare(nowNanos), overloadShare(nowNanos));
        return Math.max(1, Math.min(slots, (int) Math.floor(slots * share)));
    }

    /** Returns the number of calls that the slow start allows at a time, whatever the server refused. */
    int slowStartLimit(long nowNanos) {
        return Math.max(1, Math.min(slots, (int) Math.floor(slots * slowStartShare(nowNanos))));
    }

    /** Reduces the limit after the backend server reported overload. */
    public void onOverload(long nowNanos) {
        if (reducedShare < 1 && nowNanos - reducedAtNanos < TimeUnit.MILLISECONDS.toNanos(MIN_REDUCTION_INTERVAL_MS)) {
            return;
        }
        reducedShare = overloadShare(nowNanos) * OVERLOAD_REDUCTION_FACTOR;
        reducedAtNanos = nowNanos;
    }

    private double slowStartShare(long nowNanos) {
        long elapsedNanos = nowNanos - attachedAtNanos;
        return elapsedNanos >= slowStartNanos
                ? 1
                : INITIAL_SLOT_SHARE + (1 - INITIAL_SLOT_SHARE) * elapsedNanos / slowStartNanos;
    }

    private double overloadShare(long nowNanos) {
        double recovered = (double) (nowNanos - reducedAtNanos) / recoveryNanos;
        return Math.min(1, reducedShare + recovered);
    }
}
