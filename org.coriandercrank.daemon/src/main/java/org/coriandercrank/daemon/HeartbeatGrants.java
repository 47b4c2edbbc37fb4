package org.coriandercrank.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.backend.Grant;
import org.coriandercrank.kernel.backend.Grant.GrantedRange;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.ownership.Handover;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;
import org.coriandercrank.kernel.time.MonotonicClock;

/**
 * Grants for a backend server that takes them with the answers to its own heartbeats.
 *
 * <p>Thread safe. The validity of a grant counts from its offer, so that what the server gets in a later answer never
 * outlasts what the gate relies on. A grant is acknowledged when it was answered to a heartbeat by which the server holds
 * nothing else; a server that still has to give up ranges acknowledges it with its next heartbeat.
 */
public final class HeartbeatGrants {
    /**
     * What a heartbeat is answered with. Immutable.
     *
     * @param ranges rows for the server, sorted, see {@link GrantRowMerger}
     * @param validityMs time for which the server may hold the ranges, from the heartbeat on
     */
    public record Renewal(List<GrantedRange> ranges, long validityMs) {}

    private static final int MAX_HANDOVERS = 1_024;

    private final MonotonicClock clock;
    private final long maxHoldNanos;
    private final GrantRowMerger rowMerger;
    private final List<Handover> handovers = new ArrayList<>();
    /** What the server held by its latest heartbeat; everything before the first one. */
    private List<KeyRange> held = List.of(KeyRange.ALL);

    private long heldReportedNanos;
    private long lastHeartbeatSequence = Long.MIN_VALUE;
    private Grant pendingGrant;
    private long pendingSinceNanos;
    private CompletableFuture<Long> acknowledgement = new CompletableFuture<>();

    /**
     * Grants for one incarnation of a server.
     *
     * @param maxHoldMs longest validity that a former process of the daemon may have granted
     * @param maxRows rows that fit into an answer
     */
    public HeartbeatGrants(MonotonicClock clock, long maxHoldMs, int maxRows) {
        this.clock = clock;
        rowMerger = new GrantRowMerger(maxRows);
        this.maxHoldNanos = TimeUnit.MILLISECONDS.toNanos(maxHoldMs);
        heldReportedNanos = clock.nowNanos();
    }

    /** Offers a grant in place of the one before; completes with its sequence when the server has taken it. */
    public CompletableFuture<Long> offer(Grant grant) {
        CompletableFuture<Long> former;
        CompletableFuture<Long> result = new CompletableFuture<>();
        synchronized (this) {
            former = acknowledgement;
            pendingGrant = grant;
            pendingSinceNanos = clock.nowNanos();
            acknowledgement = result;
        }
        former.completeExceptionally(new CrankException(ResultCode.CALL_TIMEOUT, "replaced by a newer grant"));
        return result;
    }

    /**
     * The answer to a heartbeat; empty if it renews nothing.
     *
     * @param heartbeatSequence grows with each heartbeat; one that was overtaken renews nothing
     * @param reported rows that the server says it holds or still works on
     * @param freed what the server left of ranges that it has released since its last heartbeat
     */
    public Optional<Renewal> onHeartbeat(long heartbeatSequence, List<GrantedRange> reported, List<Handover> freed) {
        CompletableFuture<Long> completed = null;
        Renewal renewal;
        long sequence;
        synchronized (this) {
            if (heartbeatSequence <= lastHeartbeatSequence) {
                return Optional.empty();
            }
            lastHeartbeatSequence = heartbeatSequence;
            addHandovers(freed);
            held = reported.stream().map(GrantedRange::range).toList();
            heldReportedNanos = clock.nowNanos();
            if (pendingGrant == null) {
                return Optional.empty();
            }
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - pendingSinceNanos);
            long validityMs = pendingGrant.validityMs() - elapsedMs;
            boolean revokes = pendingGrant.ranges().isEmpty();
            if (validityMs <= 0 && !revokes) {
                return Optional.empty();
            }
            renewal = new Renewal(rowMerger.join(pendingGrant.ranges(), reported), Math.max(0, validityMs));
            sequence = pendingGrant.sequence();
            List<KeyRange> granted =
                    pendingGrant.ranges().stream().map(GrantedRange::range).toList();
            boolean nothingElse = held.stream()
                    .allMatch(range -> KeyRanges.subtract(range, granted).isEmpty());
            completed = nothingElse ? acknowledgement : null;
        }
        if (completed != null) {
            completed.complete(sequence);
        }
        return Optional.of(renewal);
    }

    /** Whether the server may hold part of a range, by its latest heartbeat and the longest validity. */
    public synchronized boolean mayHold(KeyRange range) {
        return clock.nowNanos() - heldReportedNanos < maxHoldNanos && held.stream().anyMatch(range::overlaps);
    }

    /** What the server left of released ranges that overlap a range; each is returned once. */
    public synchronized List<Handover> takeHandovers(KeyRange range) {
        List<Handover> taken =
                handovers.stream().filter(h -> h.range().overlaps(range)).toList();
        handovers.removeAll(taken);
        return taken;
    }

    /** A range that was released again has a newer token. */
    private void addHandovers(List<Handover> freed) {
        for (Handover newest : freed) {
            handovers.removeIf(h -> newest.range().contains(h.range()));
            handovers.add(newest);
        }
        while (handovers.size() > MAX_HANDOVERS) {
            handovers.remove(0);
        }
    }
}
