package org.coriandercrank.scheduling.capacity;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.backend.StatedLoad;

/**
 * Limits the number of concurrent calls to a backend server by what was measured and what the server stated, between 1
 * and the number of its slots. Not thread safe; the current time is a parameter of the methods.
 *
 * <p>Load patterns: a server that refuses requests although it has room keeps all its slots busy; a server that is full,
 * because it is slower or serves others, gets as many calls as it takes. A refusal that load explains halves the limit,
 * which then recovers within a second.
 */
public final class MeasuredConcurrency {
    private static final double REDUCTION_FACTOR = 0.5;
    private static final long MIN_REDUCTION_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** The limit is not reduced further, so that requests at low concurrency remain for comparison. */
    private static final double MIN_SHARE = 0.25;

    private final int slots;
    private final double recoveryNanos;
    private final RefusalClassifier refusals;
    private final StatedLoadTracker stated = new StatedLoadTracker();
    private double reducedShare = 1;
    private long reducedAtNanos;

    /** @param recoveryMs time in which the limit grows by all slots after a reduction */
    public MeasuredConcurrency(int slots, long recoveryMs, long nowNanos) {
        this.slots = slots;
        recoveryNanos = TimeUnit.MILLISECONDS.toNanos(recoveryMs);
        refusals = new RefusalClassifier(slots, nowNanos);
        reducedAtNanos = nowNanos;
    }

    /**
     * Records the result of a call.
     *
     * @param callsAtStart number of calls of this daemon that ran when the call was sent, including it
     * @param callsAtEnd number of calls of this daemon that run now, without it
     * @param load the load that the server stated last
     * @return whether the call was refused because of load
     */
    public boolean onCallEnd(
            int callsAtStart, int callsAtEnd, boolean refused, Optional<StatedLoad> load, long nowNanos) {
        stated.update(load, callsAtEnd);
        refusals.onResult(callsAtStart, refused, nowNanos);
        if (!refused) {
            return false;
        }
        boolean overload =
                stated.hadQueue(nowNanos) || (!stated.hadRoom(nowNanos) && refusals.isOverload(callsAtStart, nowNanos));
        if (overload) {
            reduce(nowNanos);
        } else if (stated.hadRoom(nowNanos) || refusals.isUnrelatedToLoad(nowNanos)) {
            reducedShare = 1;
        }
        return overload;
    }

    /** Returns the number of calls that may run at a time. */
    public int limit(long nowNanos) {
        int reduced = (int) Math.floor(slots * share(nowNanos));
        return Math.max(1, Math.min(reduced, stated.slotsForOwnCalls(slots, nowNanos)));
    }

    /** Factor by which calls take longer than usual at present. */
    public double workFactor(long nowNanos) {
        return stated.workFactor(nowNanos);
    }

    private void reduce(long nowNanos) {
        if (reducedShare == 1 || nowNanos - reducedAtNanos >= MIN_REDUCTION_INTERVAL_NANOS) {
            reducedShare = Math.max(MIN_SHARE, share(nowNanos) * REDUCTION_FACTOR);
            reducedAtNanos = nowNanos;
        }
    }

    private double share(long nowNanos) {
        return Math.min(1, reducedShare + (nowNanos - reducedAtNanos) / recoveryNanos);
    }
}
