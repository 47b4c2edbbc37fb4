package org.coriandercrank.gate.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.coriandercrank.gate.internal.RangeEntry.State;
import org.coriandercrank.kernel.backend.Grant.GrantedRange;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * The ranges of this gate and those that it released.
 *
 * <p>Invariant: entries in state ACQUIRING or SERVING never overlap. Not thread safe.
 */
public final class RangeTable {
    private static final int MAX_RELEASED_RANGES = 4_096;

    /** A range that was released for good under a fence. Immutable. */
    public record ReleasedRange(KeyRange range, Generation fence, RecordHorizon horizon) {}

    private final List<RangeEntry> entries = new ArrayList<>();
    private final TreeMap<KeyHash, RangeEntry> servingByFirstHash = new TreeMap<>();
    private final List<ReleasedRange> releasedRanges = new ArrayList<>();
    private boolean releaseHistoryTruncated;

    public Optional<RangeEntry> serving(KeyHash hash) {
        Map.Entry<KeyHash, RangeEntry> floor = servingByFirstHash.floorEntry(hash);
        return floor != null && floor.getValue().range().contains(hash)
                ? Optional.of(floor.getValue())
                : Optional.empty();
    }

    /** The entry with the newest fence that contains a hash, in any state. */
    public Optional<RangeEntry> newest(KeyHash hash) {
        RangeEntry newest = null;
        for (RangeEntry entry : entries) {
            if (entry.range().contains(hash) && (newest == null || entry.fence().isNewerThan(newest.fence()))) {
                newest = entry;
            }
        }
        return Optional.ofNullable(newest);
    }

    public List<RangeEntry> entries() {
        return entries;
    }

    public List<RangeEntry> inState(State state) {
        return filter(e -> e.state() == state);
    }

    public List<RangeEntry> overlapping(KeyRange range) {
        return filter(e -> e.range().overlaps(range));
    }

    /** The ranges that the backend server has to be granted. */
    public List<RangeEntry> grantable() {
        return filter(e -> e.state().compareTo(State.RELEASING) <= 0);
    }

    public void add(RangeEntry entry) {
        entries.add(entry);
        indexIfServing(entry);
    }

    public void remove(RangeEntry entry) {
        entries.remove(entry);
        servingByFirstHash.remove(entry.range().first(), entry);
    }

    public void transition(RangeEntry entry, State state) {
        servingByFirstHash.remove(entry.range().first(), entry);
        entry.transitionTo(state);
        indexIfServing(entry);
    }

    /** Takes an entry out of service. */
    public void startRelease(RangeEntry entry) {
        servingByFirstHash.remove(entry.range().first(), entry);
        entry.startRelease();
    }

    /** Splits an entry at the ends of a range and returns the part inside; the entry itself is then no longer used. */
    public RangeEntry splitOff(RangeEntry entry, KeyRange range) {
        if (range.contains(entry.range())) {
            return entry;
        }
        remove(entry);
        for (KeyRange outside : subtract(entry.range(), range)) {
            add(entry.subrange(outside));
        }
        RangeEntry inside = entry.subrange(intersection(entry.range(), range));
        add(inside);
        return inside;
    }

    /** Notes for what is left of granted ranges that the backend server may hold them until a time. */
    public void extendGrantExpiry(List<GrantedRange> granted, long expiresAtNanos) {
        for (RangeEntry entry : entries) {
            if (isGrantedBy(entry, granted)) {
                entry.extendGrantExpiry(expiresAtNanos);
            }
        }
    }

    /** Whether granted ranges give the backend server rights to part of an entry. */
    public static boolean isGrantedBy(RangeEntry entry, List<GrantedRange> granted) {
        return granted.stream().anyMatch(entry::isGrantedBy);
    }

    /** Moves the horizon after the loss of a record that was made at a time. */
    public void advanceHorizons(KeyHash hash, long sinceNanos) {
        for (RangeEntry entry : entries) {
            if (entry.range().contains(hash)) {
                entry.advanceHorizons(sinceNanos);
            }
        }
    }

    public void addReleased(RangeEntry entry) {
        ReleasedRange newest = new ReleasedRange(entry.range(), entry.fence(), entry.recordHorizon());
        releasedRanges.removeIf(r -> newest.range().contains(r.range()) && !r.fence().isNewerThan(newest.fence()));
        releasedRanges.add(newest);
        if (releasedRanges.size() > MAX_RELEASED_RANGES) {
            releasedRanges.remove(0);
            releaseHistoryTruncated = true;
        }
    }

    /** Whether a range with a hash was released; true if it cannot be told any more. */
    public boolean mayHaveReleased(KeyHash hash) {
        return releaseHistoryTruncated || releasedRanges.stream().anyMatch(r -> r.range().contains(hash));
    }

    public List<ReleasedRange> releasedIn(KeyRange range) {
        return releasedRanges.stream().filter(r -> r.range().overlaps(range)).toList();
    }

    /** Whether ranges together cover another. */
    public static boolean covers(List<KeyRange> parts, KeyRange whole) {
        List<KeyRange> uncovered = List.of(whole);
        for (KeyRange part : parts) {
            List<KeyRange> remaining = new ArrayList<>();
            for (KeyRange range : uncovered) {
                remaining.addAll(range.overlaps(part) ? subtract(range, part) : List.of(range));
            }
            uncovered = remaining;
        }
        return uncovered.isEmpty();
    }

    private static List<KeyRange> subtract(KeyRange whole, KeyRange removed) {
        List<KeyRange> remaining = new ArrayList<>();
        if (whole.first().compareTo(removed.first()) < 0) {
            remaining.add(new KeyRange(whole.first(), new KeyHash(removed.first().value() - 1)));
        }
        if (removed.last().compareTo(whole.last()) < 0) {
            remaining.add(new KeyRange(new KeyHash(removed.last().value() + 1), whole.last()));
        }
        return remaining;
    }

    static KeyRange intersection(KeyRange a, KeyRange b) {
        KeyHash first = a.first().compareTo(b.first()) > 0 ? a.first() : b.first();
        KeyHash last = a.last().compareTo(b.last()) < 0 ? a.last() : b.last();
        return new KeyRange(first, last);
    }

    private List<RangeEntry> filter(Predicate<RangeEntry> condition) {
        return entries.stream().filter(condition).toList();
    }

    private void indexIfServing(RangeEntry entry) {
        if (entry.state() == State.SERVING) {
            servingByFirstHash.put(entry.range().first(), entry);
        }
    }
}
