package org.coriandercrank.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.coriandercrank.kernel.backend.Grant.GrantedRange;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.ownership.Handover;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;

/**
 * The responses to heartbeats by which a backend server may still take ranges.
 *
 * <p>A heartbeat that does not report a range does not prove that the server will not take it: a response that grants the
 * range may still be on its way. A response is settled when its validity has passed, or when a heartbeat proves that the
 * server has handled a later one, because a server ignores a response that arrives after a later one. Compared with the
 * heartbeat before it, two things in a heartbeat prove that:
 *
 * <ul>
 *   <li>a row that is newly held: the server has handled a response with this row;
 *   <li>a newly released range that was held: the server has handled a response that lacks the range and was sent after
 *       the first one with it.
 * </ul>
 *
 * <p>Invariant: the responses are in the order in which they were sent. Not thread safe.
 */
final class SentGrants {
    /** Responses are kept for this many validity periods, because heartbeats arrive late, too. */
    private static final int KEPT_VALIDITY_PERIODS = 4;

    /**
     * Successive responses with the same rows. Immutable.
     *
     * @param lastSentNanos when the latest of the responses was sent
     * @param expiresAtNanos when the validity of all of them has passed
     */
    private record SentRows(List<GrantedRange> rows, long lastSentNanos, long expiresAtNanos) {
        boolean grantsPartOf(KeyRange range, GrantedRange row) {
            return rows.stream()
                    .anyMatch(granted -> granted.fence().equals(row.fence())
                            && granted.range().overlaps(range));
        }

        boolean coversAll(KeyRange range) {
            return KeyRanges.subtract(
                            range, rows.stream().map(GrantedRange::range).toList())
                    .isEmpty();
        }
    }

    private final long startedAtNanos;
    private final long maxHoldNanos;
    private final List<SentRows> sent = new ArrayList<>();

    /** Number of responses at the start of {@link #sent} that are settled because the server has handled a later one. */
    private int settledCount;

    private List<GrantedRange> lastHeld = List.of();
    private Set<String> lastTokens = Set.of();

    /** @param maxHoldNanos longest validity of a response, also of one that an earlier process has sent */
    SentGrants(long startedAtNanos, long maxHoldNanos) {
        this.startedAtNanos = startedAtNanos;
        this.maxHoldNanos = maxHoldNanos;
    }

    /** Adds a response that is about to be sent. */
    void add(List<GrantedRange> rows, long validityNanos, long nowNanos) {
        long expiresAtNanos = nowNanos + validityNanos;
        int last = sent.size() - 1;
        if (last >= 0 && sent.get(last).rows().equals(rows)) {
            long earlierNanos = sent.get(last).expiresAtNanos();
            sent.set(last, new SentRows(rows, nowNanos, latest(earlierNanos, expiresAtNanos)));
        } else {
            sent.add(new SentRows(rows, nowNanos, expiresAtNanos));
        }
    }

    /** Settles the responses that precede one which the server has handled according to its latest heartbeat. */
    void onHeartbeat(List<GrantedRange> held, List<Handover> released, long nowNanos) {
        removeOutdated(nowNanos);
        if (sent.size() > 1 && !mayReportEarlierProcess(nowNanos)) {
            held.forEach(this::settleByHeld);
            released.stream()
                    .filter(handover -> !lastTokens.contains(handover.token()))
                    .forEach(handover -> settleByReleased(handover.range()));
        }
        lastHeld = held;
        lastTokens = released.stream().map(Handover::token).collect(Collectors.toSet());
    }

    /** Whether the server may still take part of a range from a response that is on its way. */
    boolean mayTake(KeyRange range, long nowNanos) {
        return mayBeOfEarlierProcess(nowNanos)
                || sent.stream()
                        .skip(settledCount)
                        .filter(response -> response.expiresAtNanos() - nowNanos > 0)
                        .flatMap(response -> response.rows().stream())
                        .anyMatch(row -> row.range().overlaps(range));
    }

    private boolean mayBeOfEarlierProcess(long nowNanos) {
        return nowNanos - startedAtNanos < maxHoldNanos;
    }

    /** Whether a heartbeat that arrives now may have been sent while the server took ranges from an earlier process. */
    private boolean mayReportEarlierProcess(long nowNanos) {
        return nowNanos - startedAtNanos < 2 * maxHoldNanos;
    }

    private void settleByHeld(GrantedRange row) {
        List<KeyRange> heldBefore = lastHeld.stream()
                .filter(earlier -> earlier.fence().equals(row.fence()))
                .map(GrantedRange::range)
                .toList();
        for (KeyRange taken : KeyRanges.subtract(row.range(), heldBefore)) {
            int first = settledCount;
            while (first < sent.size() && !sent.get(first).grantsPartOf(taken, row)) {
                first++;
            }
            settleBefore(first);
        }
    }

    private void settleByReleased(KeyRange released) {
        for (GrantedRange row : lastHeld) {
            KeyRanges.intersect(row.range(), released).stream()
                    .flatMap(part -> grantedPieces(part).stream())
                    .forEach(piece -> settleByReleased(piece, row));
        }
    }

    private void settleByReleased(KeyRange piece, GrantedRange heldRow) {
        int first = 0;
        while (first < sent.size() && !sent.get(first).grantsPartOf(piece, heldRow)) {
            first++;
        }
        while (first < sent.size() && sent.get(first).coversAll(piece)) {
            first++;
        }
        settleBefore(first);
    }

    /** Splits a range at the borders of the rows that were sent, which may have been granted at different times. */
    private List<KeyRange> grantedPieces(KeyRange range) {
        TreeSet<KeyHash> firsts = new TreeSet<>(List.of(range.first()));
        for (SentRows response : sent) {
            for (GrantedRange row : response.rows()) {
                addIfWithin(row.range().first(), range, firsts);
                if (!row.range().last().equals(KeyHash.MAX)) {
                    addIfWithin(KeyRanges.next(row.range().last()), range, firsts);
                }
            }
        }
        List<KeyRange> pieces = new ArrayList<>();
        for (KeyHash first : firsts) {
            KeyHash next = firsts.higher(first);
            pieces.add(new KeyRange(first, next == null ? range.last() : KeyRanges.previous(next)));
        }
        return pieces;
    }

    private static void addIfWithin(KeyHash hash, KeyRange range, Set<KeyHash> hashes) {
        if (range.contains(hash)) {
            hashes.add(hash);
        }
    }

    /** Settles the responses before an index; the size of the list as the index proves nothing. */
    private void settleBefore(int index) {
        if (index < sent.size()) {
            settledCount = Math.max(settledCount, index);
        }
    }

    private void removeOutdated(long nowNanos) {
        while (!sent.isEmpty() && nowNanos - sent.get(0).lastSentNanos() >= KEPT_VALIDITY_PERIODS * maxHoldNanos) {
            sent.remove(0);
            settledCount = Math.max(0, settledCount - 1);
        }
    }

    private static long latest(long a, long b) {
        return a - b > 0 ? a : b;
    }
}
