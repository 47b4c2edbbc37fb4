package org.coriandercrank.gate.internal;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.backend.Grant.GrantedRange;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.ownership.TransferredRecords;
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
    private final TransferredRecords inherited;
    private final CompletableFuture<Void> acquired;
    private final LoadMeter load;
    private final Set<Generation> replacedFences = new HashSet<>();
    private State state;
    private Horizon horizon;
    private Horizon dropHorizon = Horizon.UNLIMITED;
    private long servingSinceNanos;
    private boolean acquireFailed;
    private boolean everGranted;
    private long heldUntilNanos;
    private OptionalLong rejectedAtNanos = OptionalLong.empty();

    private RangeEntry(
            KeyRange range,
            Generation fence,
            TransferredRecords inherited,
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
            KeyRange range, Generation fence, TransferredRecords inherited, Horizon horizon, long nowNanos) {
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
        part.acquireFailed = acquireFailed;
        part.dropHorizon = dropHorizon;
        part.replacedFences.addAll(replacedFences);
        part.everGranted = everGranted;
        part.heldUntilNanos = heldUntilNanos;
        part.rejectedAtNanos = rejectedAtNanos;
        return part;
    }

    public KeyRange range() {
        return range;
    }

    public Generation fence() {
        return fence;
    }

    public TransferredRecords inherited() {
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

    /**
     * Time since when no record was dropped by this gate or the owner before it. Unlike {@link #horizon()} it does not
     * start with a takeover, which happens seconds after the last execution of the lost owner.
     */
    public Horizon dropHorizon() {
        return dropHorizon;
    }

    public void moveHorizon(long sinceNanos) {
        horizon = horizon.later(Horizon.since(sinceNanos));
        dropHorizon = dropHorizon.later(Horizon.since(sinceNanos));
    }

    public void limitDropHorizon(Horizon limit) {
        dropHorizon = dropHorizon.later(limit);
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

    /**
     * Ends an acquire that did not succeed; the backend server may have the grant, so it is revoked. The range may be
     * acquired again under the same fence, unless it is released meanwhile.
     */
    public void failAcquire(CrankException failure) {
        advance(State.REVOKING);
        acquireFailed = true;
        acquired.completeExceptionally(failure);
    }

    public boolean isAcquireFailed() {
        return acquireFailed;
    }

    /** Notes that the range is released, so that the fence is used up. */
    public void startRelease() {
        acquireFailed = false;
        if (state.compareTo(State.RELEASING) < 0) {
            advance(State.RELEASING);
        }
    }

    /** Takes over what the backend server may hold of a part of the range that this entry replaces. */
    void inheritHold(RangeEntry replaced) {
        replacedFences.add(replaced.fence);
        replacedFences.addAll(replaced.replacedFences);
        if (replaced.everGranted) {
            hold(replaced.heldUntilNanos);
        }
    }

    /** Whether a granted range gives rights to part of this entry, under its fence or one that it replaced. */
    public boolean isHeldThrough(GrantedRange granted) {
        return granted.range().overlaps(range)
                && (granted.fence().equals(fence) || replacedFences.contains(granted.fence()));
    }

    /** Notes that the backend server may believe until a time that it holds the range. */
    public void hold(long untilNanos) {
        heldUntilNanos = everGranted && heldUntilNanos - untilNanos > 0 ? heldUntilNanos : untilNanos;
        everGranted = true;
    }

    /** Notes that the backend server does not hold the range although its grant was acknowledged. */
    public void reject(long nowNanos) {
        rejectedAtNanos = OptionalLong.of(nowNanos);
    }

    /** Whether the backend server must be given the range again before it gets further requests of it. */
    public boolean isRejected() {
        return rejectedAtNanos.isPresent();
    }

    /** Notes that the backend server acknowledged a grant with the range that was sent at a time. */
    public void acknowledge(long sentAtNanos) {
        if (rejectedAtNanos.isPresent() && sentAtNanos - rejectedAtNanos.getAsLong() >= 0) {
            rejectedAtNanos = OptionalLong.empty();
        }
    }

    /** Whether the validity given last has lapsed at the backend server. */
    public boolean isHoldLapsed(long nowNanos) {
        return !everGranted || nowNanos - heldUntilNanos >= 0;
    }
}
