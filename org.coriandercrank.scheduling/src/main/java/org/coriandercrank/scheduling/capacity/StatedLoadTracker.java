package org.coriandercrank.scheduling.capacity;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.backend.StatedLoad;

/**
 * What the load that a backend server stated last means at a later time. Not thread safe; the current time is a
 * parameter of the methods.
 *
 * <p>Load patterns: a server still executes requests of an earlier process of its daemon, which this process does not
 * know of; other work on the host of a server triples the duration of all work for 400 ms. A statement loses weight with
 * its age, because both end without a further statement if no request is sent.
 */
public final class StatedLoadTracker {
    private static final double LOAD_FULL_WEIGHT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final double LOAD_NO_WEIGHT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

    /** Other work on a host lasts for tenths of a second. */
    private static final double WORK_FULL_WEIGHT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final double WORK_NO_WEIGHT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Bounds of the work factor; a statement beyond them is false, and would stop all requests or attract them. */
    private static final double MIN_WORK_FACTOR = 0.25;

    private static final double MAX_WORK_FACTOR = 10;

    private Optional<StatedLoad> latest = Optional.empty();
    private int othersCalls;

    /**
     * Adopts a statement; one that is known already changes nothing.
     *
     * @param ownCalls number of calls of this daemon that run at the server at the time of the statement, without the one
     *     whose response has it
     */
    public void update(Optional<StatedLoad> stated, int ownCalls) {
        if (!stated.equals(latest)) {
            latest = stated;
            // The call whose response states the load may still be counted in it.
            othersCalls = stated.map(load -> Math.max(0, load.pending() - ownCalls - 1))
                    .orElse(0);
        }
    }

    /**
     * Number of slots of the server that are free for the calls of this daemon: all, less those that calls of others use;
     * at least 1, because only a response shows that the others have ended.
     */
    public int slotsForOwnCalls(int slots, long nowNanos) {
        return Math.max(
                1,
                slots - (int) Math.round(weight(nowNanos, LOAD_FULL_WEIGHT_NANOS, LOAD_NO_WEIGHT_NANOS) * othersCalls));
    }

    /** Whether the server stated not long ago that it had a free slot and an empty queue. */
    public boolean hadRoom(long nowNanos) {
        return isCurrent(nowNanos)
                && latest.get().waiting() == 0
                && latest.get().running() < latest.get().slots();
    }

    /** Whether the server stated not long ago that requests waited there. */
    public boolean hadQueue(long nowNanos) {
        return isCurrent(nowNanos) && latest.get().waiting() > 0;
    }

    /** Factor by which work on the host of the server takes longer than usual at a time. */
    public double workFactor(long nowNanos) {
        if (latest.isEmpty()) {
            return 1;
        }
        double statedFactor = Math.max(
                MIN_WORK_FACTOR,
                Math.min(MAX_WORK_FACTOR, (double) latest.get().workPercent() / StatedLoad.USUAL_WORK_PERCENT));
        return 1 + weight(nowNanos, WORK_FULL_WEIGHT_NANOS, WORK_NO_WEIGHT_NANOS) * (statedFactor - 1);
    }

    /** Whether the latest statement counts in full; an older one does not explain a refusal. */
    private boolean isCurrent(long nowNanos) {
        return weight(nowNanos, LOAD_FULL_WEIGHT_NANOS, LOAD_NO_WEIGHT_NANOS) == 1;
    }

    /** Weight of the latest statement: 1 up to an age, 0 from a larger age on, and linear in between. */
    private double weight(long nowNanos, double fullWeightNanos, double noWeightNanos) {
        if (latest.isEmpty()) {
            return 0;
        }
        double ageNanos = nowNanos - latest.get().receivedAtNanos();
        return Math.max(0, Math.min(1, (noWeightNanos - ageNanos) / (noWeightNanos - fullWeightNanos)));
    }
}
