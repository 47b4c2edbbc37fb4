package org.coriandercrank.gate.internal;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.backend.Grant.GrantedRange;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * A key range that this gate holds under one fencing token. Acquiring the range again, under a newer token or after a
 * failed acquire, creates another entry, so the two are never confused.
 *
 * <p>The state only moves forward in the order of {@link State}. Not thread safe.
 */
public final class RangeEntry {
    /** Progress of a range at this gate. */
    public enum State {
        ACQUIRING,
        SERVING,
        /** New requests are refused, but the range is still granted for the requests in flight. */
        RELEASING,
        /** New grants do not contain the range; the backend server may still hold it. */
        REVOKING,
        /** The backend server cannot start a request under the fencing token of this entry any more. */
        REVOKED
    }

    private final KeyRange range;
    private final Generation fence;
    private final TransferredRecords transferred;
    private final CompletableFuture<Void> acquired;
    private final RangeLoadMeter loadMeter;
    private final Set<Generation> replacedFences = new HashSet<>();
    private State state;
    private RecordHorizon recordHorizon;
    private RecordHorizon removalHorizon = RecordHorizon.UNLIMITED;
    private long servingSinceNanos;
    private boolean acquireFailed;
    private boolean everGranted;
    private boolean revocationAcknowledged;
    private boolean atReplacedServer;
    private boolean expiringAtReplacedServer;
    private long grantExpiresAtNanos;
    private OptionalLong rejectedAtNanos = OptionalLong.empty();

    private RangeEntry(
            KeyRange range,
            Generation fence,
            TransferredRecords transferred,
            CompletableFuture<Void> acquired,
            RangeLoadMeter loadMeter,
            RecordHorizon recordHorizon) {
        this.range = range;
        this.fence = fence;
        this.transferred = transferred;
        this.acquired = acquired;
        this.loadMeter = loadMeter;
        this.recordHorizon = recordHorizon;
        state = State.ACQUIRING;
    }

    /** Creates an entry in state ACQUIRING for a range whose records are complete since a horizon. */
    public static RangeEntry acquiring(
            KeyRange range,
            Generation fence,
            TransferredRecords transferred,
            RecordHorizon recordHorizon,
            long nowNanos) {
        RangeEntry entry = new RangeEntry(
                range, fence, transferred, new CompletableFuture<>(), new RangeLoadMeter(nowNanos), recordHorizon);
        entry.servingSinceNanos = nowNanos;
        return entry;
    }

    /** Creates an entry for a part of this range with the same fencing token, state and history. */
    RangeEntry subrange(KeyRange newRange) {
        double share = newRange.share() / range.share();
        RangeEntry result =
                new RangeEntry(newRange, fence, transferred, acquired, loadMeter.forSubrange(share), recordHorizon);
        result.state = state;
        result.servingSinceNanos = servingSinceNanos;
        result.acquireFailed = acquireFailed;
        result.removalHorizon = removalHorizon;
        result.replacedFences.addAll(replacedFences);
        result.everGranted = everGranted;
        result.revocationAcknowledged = revocationAcknowledged;
        result.atReplacedServer = atReplacedServer;
        result.expiringAtReplacedServer = expiringAtReplacedServer;
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

    /** Outcome records and handover tokens that were passed on with the range. */
    public TransferredRecords transferred() {
        return transferred;
    }

    /** Completes when the range is served; fails if the acquire fails. */
    public CompletableFuture<Void> acquired() {
        return acquired;
    }

    public RangeLoadMeter loadMeter() {
        return loadMeter;
    }

    public State state() {
        return state;
    }

    /** Horizon since which this gate has all outcome records of the range. */
    public RecordHorizon recordHorizon() {
        return recordHorizon;
    }

    /**
     * Horizon since which neither this gate nor the previous owner has removed an outcome record of the range. Unlike
     * {@link #recordHorizon()} it is not limited by a takeover, because a takeover happens seconds after the last
     * execution by the lost owner.
     */
    public RecordHorizon removalHorizon() {
        return removalHorizon;
    }

    /** Advances both horizons to the creation time of a removed record. */
    public void advanceHorizons(long sinceNanos) {
        recordHorizon = recordHorizon.later(RecordHorizon.startingAt(sinceNanos));
        removalHorizon = removalHorizon.later(RecordHorizon.startingAt(sinceNanos));
    }

    /** Advances the removal horizon to a limit if the limit is more recent. */
    public void limitRemovalHorizon(RecordHorizon limit) {
        removalHorizon = removalHorizon.later(limit);
    }

    /** Monotonic time since which this gate has received every request for the range. */
    public long servingSinceNanos() {
        return servingSinceNanos;
    }

    public void setServingSince(long sinceNanos) {
        servingSinceNanos = sinceNanos;
    }

    /** Moves to a later state; throws {@link IllegalStateException} if the new state is not later. */
    public void transitionTo(State newState) {
        if (newState.compareTo(state) <= 0) {
            throw new IllegalStateException("range " + range + " cannot change from " + state + " to " + newState);
        }
        state = newState;
    }

    /**
     * Fails an acquire. The backend server may have received the grant, so the range is revoked. It may be acquired
     * again under the same fencing token unless it is released before.
     */
    public void failAcquire(CrankException failure) {
        transitionTo(State.REVOKING);
        acquireFailed = true;
        acquired.completeExceptionally(failure);
    }

    public boolean isAcquireFailed() {
        return acquireFailed;
    }

    /** Starts the release of the range; afterwards it cannot be acquired again under this fencing token. */
    public void startRelease() {
        acquireFailed = false;
        if (state.compareTo(State.RELEASING) < 0) {
            transitionTo(State.RELEASING);
        }
    }

    /** Inherits the fencing tokens and the grant expiry of an entry that this entry replaces. */
    void inheritGrantExpiry(RangeEntry replaced) {
        replacedFences.add(replaced.fence);
        replacedFences.addAll(replaced.replacedFences);
        if (replaced.everGranted) {
            extendGrantExpiry(replaced.grantExpiresAtNanos);
        }
    }

    /** Whether a granted range overlaps this entry and has its fencing token or that of an entry that it replaced. */
    public boolean isGrantedBy(GrantedRange granted) {
        return granted.range().overlaps(range)
                && (granted.fence().equals(fence) || replacedFences.contains(granted.fence()));
    }

    /** Records until when a grant of the range may be valid at the backend server; an earlier time has no effect. */
    public void extendGrantExpiry(long expiresAtNanos) {
        grantExpiresAtNanos =
                everGranted && grantExpiresAtNanos - expiresAtNanos > 0 ? grantExpiresAtNanos : expiresAtNanos;
        everGranted = true;
    }

    /** Records that the backend server acknowledged a grant without the range, which it may still hold or take. */
    void onRevocationAcknowledged() {
        revocationAcknowledged = true;
    }

    boolean isRevocationAcknowledged() {
        return revocationAcknowledged;
    }

    /**
     * Records that another backend server has taken the place of one that may still hold the range.
     *
     * @param honoursValidity whether the earlier server drops the range when its grant expires
     */
    void onServerReplaced(boolean honoursValidity) {
        expiringAtReplacedServer = honoursValidity && (!atReplacedServer || expiringAtReplacedServer);
        atReplacedServer = true;
    }

    /** Whether a backend server that was replaced may hold the range, so that acknowledgements by others prove nothing. */
    boolean isAtReplacedServer() {
        return atReplacedServer;
    }

    boolean isExpiringAtReplacedServer() {
        return expiringAtReplacedServer;
    }

    /** Records that the backend server rejected the fencing token although it had acknowledged the grant. */
    public void markRejected(long nowNanos) {
        rejectedAtNanos = OptionalLong.of(nowNanos);
    }

    /** Whether the backend server must acknowledge another grant of the range before it gets further requests. */
    public boolean needsRegrant() {
        return rejectedAtNanos.isPresent();
    }

    /** Ends the need for another grant unless the acknowledged grant of the range was sent before the rejection. */
    public void onGrantAcknowledged(long sentAtNanos) {
        if (rejectedAtNanos.isPresent() && sentAtNanos - rejectedAtNanos.getAsLong() >= 0) {
            rejectedAtNanos = OptionalLong.empty();
        }
    }

    /** Returns for how long a grant of the range may still be valid at the backend server, in milliseconds. */
    long grantRemainingMs(long nowNanos) {
        return isGrantExpired(nowNanos) ? 0 : TimeUnit.NANOSECONDS.toMillis(grantExpiresAtNanos - nowNanos);
    }

    /** Whether all grants of the range have certainly expired at the backend server. */
    public boolean isGrantExpired(long nowNanos) {
        return !everGranted || nowNanos - grantExpiresAtNanos >= 0;
    }
}
