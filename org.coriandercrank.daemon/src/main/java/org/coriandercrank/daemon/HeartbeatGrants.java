package org.coriandercrank.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.coriandercrank.kernel.backend.Grant;
import org.coriandercrank.kernel.backend.Grant.GrantedRange;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.ownership.Handover;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;
import org.coriandercrank.kernel.time.MonotonicClock;
import org.coriandercrank.kernel.time.Stopwatch;

/**
 * Delivers grants to a backend server in the responses to its heartbeats.
 *
 * <p>Thread safe. The validity of a grant starts when it is offered, so a grant that is delivered in a later response
 * never outlasts the validity that the gate assumes. A grant is acknowledged once it was sent in response to a
 * heartbeat that reports no held range outside the grant; a server that must first release ranges acknowledges the
 * grant with a later heartbeat. The server may still take other ranges from responses that it has not handled, see
 * {@link #mayHold}.
 *
 * <p>The validity is measured on a clock that includes suspensions of the host, so that it ends with the lease. What the
 * server may hold is measured on the steady clock, because the clock of the server may stop during a suspension.
 */
public final class HeartbeatGrants {
    /**
     * Grant in the response to a heartbeat. Immutable.
     *
     * @param ranges granted rows, sorted by range, see {@link GrantRowMerger}
     * @param validityMs how long the server may hold the rows, counted from the heartbeat
     */
    public record Renewal(List<GrantedRange> ranges, long validityMs) {}

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_HANDOVERS = 1_024;

    private final MonotonicClock steadyClock;
    private final MonotonicClock leaseClock;
    private final long maxHoldNanos;
    private final GrantRowMerger rowMerger;
    private final SentGrants sentGrants;
    private final List<Handover> handovers = new ArrayList<>();

    /** Ranges that the latest heartbeat reported as held; all ranges before the first heartbeat. */
    private List<KeyRange> heldRanges = List.of(KeyRange.ALL);

    private long lastReportNanos;
    private long lastHeartbeatSequence = Long.MIN_VALUE;
    private Grant latestGrant;
    private long latestGrantNanos;
    private CompletableFuture<Long> acknowledgement = new CompletableFuture<>();

    /**
     * Creates the grants of one incarnation of a server.
     *
     * @param steadyClock may stop while the host is suspended
     * @param leaseClock clock of the lease, which includes suspensions
     * @param maxHoldMs longest validity of a grant, also of one by an earlier process of the daemon
     * @param rowLimit room for rows in a response
     * @param assignedRanges the ranges that the latest known table assigns to the member of this daemon; must not block
     */
    public HeartbeatGrants(
            MonotonicClock steadyClock,
            MonotonicClock leaseClock,
            long maxHoldMs,
            RowLimit rowLimit,
            Supplier<AssignedRanges> assignedRanges) {
        this.steadyClock = steadyClock;
        this.leaseClock = leaseClock;
        rowMerger = new GrantRowMerger(rowLimit, assignedRanges);
        this.maxHoldNanos = TimeUnit.MILLISECONDS.toNanos(maxHoldMs);
        lastReportNanos = steadyClock.nowNanos();
        sentGrants = new SentGrants(lastReportNanos, maxHoldNanos);
    }

    /** Replaces the grant to be delivered by one whose validity counts from this call. */
    public CompletableFuture<Long> offer(Grant grant) {
        return offer(grant, Stopwatch.start(leaseClock));
    }

    /**
     * Replaces the grant to be delivered. The future completes with the sequence of the grant when the server
     * acknowledges it, and fails if a newer grant replaces it first.
     *
     * @param sinceValidity started before the validity was determined; the validity counts from that start
     */
    public CompletableFuture<Long> offer(Grant grant, Stopwatch sinceValidity) {
        CompletableFuture<Long> superseded;
        CompletableFuture<Long> result = new CompletableFuture<>();
        synchronized (this) {
            superseded = acknowledgement;
            latestGrant = grant;
            // Read before the elapsed time, so that a pause between the two shortens the validity.
            long nowNanos = leaseClock.nowNanos();
            latestGrantNanos = nowNanos - sinceValidity.elapsedNanos();
            acknowledgement = result;
        }
        superseded.completeExceptionally(new CrankException(ResultCode.CALL_TIMEOUT, "replaced by a newer grant"));
        return result;
    }

    /**
     * Handles a heartbeat and returns the grant for its response. The result is empty if the heartbeat is outdated, if
     * no grant was offered, or if the latest grant has expired; a grant without ranges revokes all ranges and does not
     * expire.
     *
     * @param heartbeatSequence increases with each heartbeat; a heartbeat that arrives after a later one renews nothing
     * @param reported rows that the server holds or still executes requests for
     * @param released handover tokens of the ranges that the server has released since its previous heartbeat
     */
    public Optional<Renewal> onHeartbeat(long heartbeatSequence, List<GrantedRange> reported, List<Handover> released) {
        CompletableFuture<Long> toComplete = null;
        Renewal renewal;
        long sequence;
        synchronized (this) {
            if (heartbeatSequence <= lastHeartbeatSequence) {
                return Optional.empty();
            }
            lastHeartbeatSequence = heartbeatSequence;
            addHandovers(released);
            heldRanges = reported.stream().map(GrantedRange::range).toList();
            lastReportNanos = steadyClock.nowNanos();
            sentGrants.onHeartbeat(reported, released, lastReportNanos);
            if (latestGrant == null) {
                return Optional.empty();
            }
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(leaseClock.nowNanos() - latestGrantNanos);
            long validityMs = latestGrant.validityMs() - elapsedMs;
            boolean revokes = latestGrant.ranges().isEmpty();
            if (validityMs <= 0 && !revokes) {
                return Optional.empty();
            }
            renewal = new Renewal(mergeRows(reported), Math.max(0, validityMs));
            sentGrants.add(renewal.ranges(), TimeUnit.MILLISECONDS.toNanos(renewal.validityMs()), lastReportNanos);
            sequence = latestGrant.sequence();
            List<KeyRange> granted =
                    latestGrant.ranges().stream().map(GrantedRange::range).toList();
            boolean holdsOnlyGranted = heldRanges.stream()
                    .allMatch(range -> KeyRanges.subtract(range, granted).isEmpty());
            toComplete = holdsOnlyGranted ? acknowledgement : null;
        }
        if (toComplete != null) {
            toComplete.complete(sequence);
        }
        return Optional.of(renewal);
    }

    /** Whether a heartbeat with this sequence renews nothing because a later one was handled. */
    public synchronized boolean isOutdated(long heartbeatSequence) {
        return heartbeatSequence < lastHeartbeatSequence;
    }

    private List<GrantedRange> mergeRows(List<GrantedRange> reported) {
        List<GrantedRange> leftOutBefore = rowMerger.leftOutRows();
        List<GrantedRange> rows = rowMerger.merge(latestGrant.ranges(), reported);
        List<GrantedRange> leftOut = rowMerger.leftOutRows();
        if (!leftOut.equals(leftOutBefore)) {
            logger.atWarning().log(
                    "event=rows-left-out count=%d sent=%d rows=%s", leftOut.size(), rows.size(), leftOut);
        }
        return rows;
    }

    /**
     * Whether the server may hold part of a range, or take it from a response that is on its way: its latest heartbeat
     * reported the range and the longest validity has not passed since, or a response with the range is not settled.
     * Until the longest validity has passed since the start, it may take any range from a response of an earlier process.
     */
    public synchronized boolean mayHold(KeyRange range) {
        long nowNanos = steadyClock.nowNanos();
        boolean reported =
                nowNanos - lastReportNanos < maxHoldNanos && heldRanges.stream().anyMatch(range::overlaps);
        return reported || sentGrants.mayTake(range, nowNanos);
    }

    /** Whether the server neither holds part of a range nor can take it, and no response will grant it. */
    public synchronized boolean hasCertainlyReleased(KeyRange range) {
        return !isOffered(range) && !mayHold(range);
    }

    private boolean isOffered(KeyRange range) {
        return latestGrant != null
                && leaseClock.nowNanos() - latestGrantNanos < TimeUnit.MILLISECONDS.toNanos(latestGrant.validityMs())
                && latestGrant.ranges().stream().anyMatch(row -> row.range().overlaps(range));
    }

    /** Returns and removes the handover tokens of released ranges that overlap a range. */
    public synchronized List<Handover> takeHandovers(KeyRange range) {
        List<Handover> matching = handovers.stream()
                .filter(handover -> handover.range().overlaps(range))
                .toList();
        handovers.removeAll(matching);
        return matching;
    }

    /**
     * Adds tokens. A token replaces the earlier tokens of all ranges within its own range, because a range that was
     * released again has a newer token. Above the limit, the oldest tokens are removed.
     */
    private void addHandovers(List<Handover> released) {
        for (Handover newest : released) {
            handovers.removeIf(earlier -> newest.range().contains(earlier.range()));
            handovers.add(newest);
        }
        while (handovers.size() > MAX_HANDOVERS) {
            handovers.remove(0);
        }
    }
}
