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
    private final RangeLoadMeter loadMeter;
    private final Set<Generation> replacedFences = new HashSet<>();
    private State state;
    private RecordHorizon recordHorizon;
    private RecordHorizon removalHorizon = RecordHorizon.UNLIMITED;
    private long servingSinceNanos;
    private boolean acquireFailed;
    private boolean everGranted;
    private long grantExpiresAtNanos;
    private OptionalLong rejectedAtNanos = OptionalLong.empty();

    private RangeEntry(
            KeyRange range,
            Generation fence,
            TransferredRecords inherited,
            CompletableFuture<Void> acquired,
            RangeLoadMeter load,
            RecordHorizon horizon) {
        this.range = range;
        this.fence = fence;
        this.inherited = inherited;
        this.acquired = acquired;
        this.loadMeter = load;
        this.recordHorizon = horizon;
        state = State.ACQUIRING;
    }

    public static RangeEntry acquiring(
            KeyRange range, Generation fence, TransferredRecords inherited, RecordHorizon horizon, long nowNanos) {
        RangeEntry entry =
                new RangeEntry(range, fence, inherited, new CompletableFuture<>(), new RangeLoadMeter(nowNanos), horizon);
        entry.servingSinceNanos = nowNanos;
        return entry;
    }

    /** A part of this entry with the same fence, state and memory. */
    RangeEntry subrange(KeyRange newRange) {
        double share = newRange.share() / range.share();
        RangeEntry result = new RangeEntry(newRange, fence, inherited, acquired, loadMeter.forSubrange(share), recordHorizon);
        result.state = state;
        result.servingSinceNanos = servingSinceNanos;
        result.acquireFailed = acquireFailed;
        result.removalHorizon = removalHorizon;
        result.replacedFences.addAll(replacedFences);
        result.everGranted = everGranted;
        result.grantExpiresAtNanos = grantExpiresAtNanos;
        result.rejectedAtNanos = rejectedAtNanos;
        return result;
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

    public RangeLoadMeter loadMeter() {
        return loadMeter;
    }

    public State state() {
        return state;
    }

    public RecordHorizon recordHorizon() {
        return recordHorizon;
    }

    /**
     * Time since when no record was dropped by this gate or the owner before it. Unlike {@link #recordHorizon()} it does not
     * start with a takeover, which happens seconds after the last execution of the lost owner.
     */
    public RecordHorizon removalHorizon() {
        return removalHorizon;
    }

    public void advanceHorizons(long sinceNanos) {
        recordHorizon = recordHorizon.later(RecordHorizon.startingAt(sinceNanos));
        removalHorizon = removalHorizon.later(RecordHorizon.startingAt(sinceNanos));
    }

    public void limitRemovalHorizon(RecordHorizon limit) {
        removalHorizon = removalHorizon.later(limit);
    }

    /** Time since when this gate has seen every request of the range. */
    public long servingSinceNanos() {
        return servingSinceNanos;
    }

    public void setServingSince(long sinceNanos) {
        servingSinceNanos = sinceNanos;
    }

    public void transitionTo(State newState) {
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
        transitionTo(State.REVOKING);
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
            transitionTo(State.RELEASING);
        }
    }

    /** Takes over what the backend server may hold of a part of the range that this entry replaces. */
    void inheritGrant(RangeEntry replaced) {
        replacedFences.add(replaced.fence);
        replacedFences.addAll(replaced.replacedFences);
        if (replaced.everGranted) {
            extendGrantExpiry(replaced.grantExpiresAtNanos);
        }
    }

    /** Whether a granted range gives rights to part of this entry, under its fence or one that it replaced. */
    public boolean isGrantedBy(GrantedRange granted) {
        return granted.range().overlaps(range)
                && (granted.fence().equals(fence) || replacedFences.contains(granted.fence()));
    }

    /** Notes that the backend server may believe until a time that it holds the range. */
    public void extendGrantExpiry(long expiresAtNanos) {
        grantExpiresAtNanos = everGranted && grantExpiresAtNanos - expiresAtNanos > 0 ? grantExpiresAtNanos : expiresAtNanos;
        everGranted = true;
    }

    /** Notes that the backend server does not hold the range although its grant was acknowledged. */
    public void markRejected(long nowNanos) {
        rejectedAtNanos = OptionalLong.of(nowNanos);
    }

    /** Whether the backend server must be given the range again before it gets further requests of it. */
    public boolean needsRegrant() {
        return rejectedAtNanos.isPresent();
    }

    /** Notes that the backend server acknowledged a grant with the range that was sent at a time. */
    public void onGrantAcknowledged(long sentAtNanos) {
        if (rejectedAtNanos.isPresent() && sentAtNanos - rejectedAtNanos.getAsLong() >= 0) {
            rejectedAtNanos = OptionalLong.empty();
        }
    }

    /** Whether the validity given last has lapsed at the backend server. */
    public boolean isGrantExpired(long nowNanos) {
        return !everGranted || nowNanos - grantExpiresAtNanos >= 0;
    }
}
