package org.coriandercrank.gate.internal;

import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.ownership.InheritedRecords;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * A range under one fence at this gate. A range acquired again is another entry, so the two are never confused.
 *
 * <p>States follow each other in the order of {@link State}. Not thread safe.
 */
public final class RangeEntry {
    /** Progress of a range at this gate. */
    public enum State {
        ACQUIRING,
        SERVING,
        /** No admission any more; still granted for the requests in flight. */
        RELEASING,
        /** Left out of new grants. */
        REVOKING,
        /** The backend server can start nothing for this entry any more. */
        REVOKED
    }

    private final KeyRange range;
    private final Generation fence;
    private final InheritedRecords inherited;
    private final CompletableFuture<Void> acquired;
    private final LoadMeter load;
    private State state;
    private Horizon horizon;
    private long servingSinceNanos;
    private boolean everGranted;
    private long heldUntilNanos;

    private RangeEntry(
            KeyRange range,
            Generation fence,
            InheritedRecords inherited,
            CompletableFuture<Void> acquired,
            LoadMeter load,
            Horizon horizon) {
        this.range = range;
        this.fence = fence;
        this.inherited = inherited;
        this.acquired = acquired;
        this.load = load;
        this.horizon = horizon;
        state = State.ACQUIRING;
    }

    public static RangeEntry acquiring(
            KeyRange range, Generation fence, InheritedRecords inherited, Horizon horizon, long nowNanos) {
        RangeEntry entry =
                new RangeEntry(range, fence, inherited, new CompletableFuture<>(), new LoadMeter(nowNanos), horizon);
        entry.servingSinceNanos = nowNanos;
        return entry;
    }

    /** A part of this entry with the same fence, state and memory. */
    RangeEntry part(KeyRange partRange) {
        double share = partRange.share() / range.share();
        RangeEntry part = new RangeEntry(partRange, fence, inherited, acquired, load.part(share), horizon);
        part.state = state;
        part.servingSinceNanos = servingSinceNanos;
        part.everGranted = everGranted;
        part.heldUntilNanos = heldUntilNanos;
        return part;
    }

    public KeyRange range() {
        return range;
    }

    public Generation fence() {
        return fence;
    }

    public InheritedRecords inherited() {
        return inherited;
    }

    /** Completes when the range is served. */
    public CompletableFuture<Void> acquired() {
        return acquired;
    }

    public LoadMeter load() {
        return load;
    }

    public State state() {
        return state;
    }

    public Horizon horizon() {
        return horizon;
    }

    public void moveHorizon(long sinceNanos) {
        horizon = horizon.later(Horizon.since(sinceNanos));
    }

    /** Time since when this gate has seen every request of the range. */
    public long servingSinceNanos() {
        return servingSinceNanos;
    }

    public void keepServingSince(long earlierNanos) {
        servingSinceNanos = earlierNanos;
    }

    public void advance(State newState) {
        if (newState.compareTo(state) <= 0) {
            throw new IllegalStateException("range " + range + " cannot go from " + state + " to " + newState);
        }
        state = newState;
    }

    /** Notes that the backend server may believe until a time that it holds the range. */
    public void hold(long untilNanos) {
        heldUntilNanos = everGranted && heldUntilNanos - untilNanos > 0 ? heldUntilNanos : untilNanos;
        everGranted = true;
    }

    /** Whether the validity given last has lapsed at the backend server. */
    public boolean isHoldLapsed(long nowNanos) {
        return !everGranted || nowNanos - heldUntilNanos >= 0;
    }
}
