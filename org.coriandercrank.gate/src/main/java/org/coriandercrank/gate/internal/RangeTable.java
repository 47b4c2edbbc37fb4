package org.coriandercrank.gate.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.coriandercrank.gate.internal.Admission.RangeStatus;
import org.coriandercrank.gate.internal.RangeEntry.State;
import org.coriandercrank.kernel.backend.Grant.GrantedRange;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * The ranges that this gate holds, and a bounded history of those that it released.
 *
 * <p>Invariant: entries in state ACQUIRING or SERVING never overlap. Not thread safe.
 */
public final class RangeTable {
    private static final int MAX_RELEASED_RANGES = 4_096;

    /**
     * A range whose release under a fencing token has completed. Immutable.
     *
     * @param horizon horizon of the outcome records at the time of the release
     */
    public record ReleasedRange(KeyRange range, Generation fence, RecordHorizon horizon) {}

    private final List<RangeEntry> entries = new ArrayList<>();
    private final TreeMap<KeyHash, RangeEntry> servingByFirstHash = new TreeMap<>();
    private final List<ReleasedRange> releasedRanges = new ArrayList<>();
    private boolean releaseHistoryTruncated;

    /** Returns the entry in state SERVING that contains a hash. */
    public Optional<RangeEntry> serving(KeyHash hash) {
        Map.Entry<KeyHash, RangeEntry> floor = servingByFirstHash.floorEntry(hash);
        return floor != null && floor.getValue().range().contains(hash)
                ? Optional.of(floor.getValue())
                : Optional.empty();
    }

    /** Returns the entry with the newest fencing token that contains a hash, in any state. */
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

    /** Returns the entries whose ranges must be granted to the backend server. */
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

    /** Moves an entry to a later state. */
    public void transition(RangeEntry entry, State state) {
        servingByFirstHash.remove(entry.range().first(), entry);
        entry.transitionTo(state);
        indexIfServing(entry);
    }

    /** Starts the release of an entry; new requests for its range are refused from now on. */
    public void startRelease(RangeEntry entry) {
        servingByFirstHash.remove(entry.range().first(), entry);
        entry.startRelease();
    }

    /**
     * Returns the part of an entry that lies within a range. If the entry extends beyond the range, it is replaced by
     * one entry for the part within the range and others for the rest.
     */
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

    /** Extends the grant expiry of the entries to which granted ranges apply. */
    public void extendGrantExpiry(List<GrantedRange> granted, long expiresAtNanos) {
        for (RangeEntry entry : entries) {
            if (isGrantedBy(entry, granted)) {
                entry.extendGrantExpiry(expiresAtNanos);
            }
        }
    }

    /** Returns for how long the longest grant of an entry may still be valid, in milliseconds. */
    long longestGrantMs(long nowNanos) {
        return entries.stream()
                .mapToLong(entry -> entry.grantRemainingMs(nowNanos))
                .max()
                .orElse(0);
    }

    /** Whether any granted range applies to part of an entry. */
    public static boolean isGrantedBy(RangeEntry entry, List<GrantedRange> granted) {
        return granted.stream().anyMatch(entry::isGrantedBy);
    }

    /** Advances the horizons of the entries that contain a hash to the creation time of a removed record. */
    public void advanceHorizons(KeyHash hash, long sinceNanos) {
        for (RangeEntry entry : entries) {
            if (entry.range().contains(hash)) {
                entry.advanceHorizons(sinceNanos);
            }
        }
    }

    /** Adds an entry to the history of released ranges, in place of older releases that it covers. */
    public void addReleased(RangeEntry entry) {
        ReleasedRange newest = new ReleasedRange(entry.range(), entry.fence(), entry.recordHorizon());
        releasedRanges.removeIf(
                r -> newest.range().contains(r.range()) && !r.fence().isNewerThan(newest.fence()));
        releasedRanges.add(newest);
        if (releasedRanges.size() > MAX_RELEASED_RANGES) {
            releasedRanges.remove(0);
            releaseHistoryTruncated = true;
        }
    }

    /** Returns whether this gate serves a hash, or acquires or releases its range. */
    RangeStatus status(KeyHash hash) {
        if (serving(hash).isPresent()) {
            return RangeStatus.SERVED;
        }
        return newest(hash).isPresent() ? RangeStatus.MOVING : RangeStatus.NOT_SERVED;
    }

    /** Whether this gate has released a range with a hash; also true if the history is truncated. */
    public boolean mayHaveReleased(KeyHash hash) {
        return releaseHistoryTruncated
                || releasedRanges.stream().anyMatch(r -> r.range().contains(hash));
    }

    /** Returns the released ranges that overlap a range. */
    public List<ReleasedRange> releasedIn(KeyRange range) {
        return releasedRanges.stream().filter(r -> r.range().overlaps(range)).toList();
    }

    /** Whether some ranges together cover a whole range. */
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
            remaining.add(
                    new KeyRange(whole.first(), new KeyHash(removed.first().value() - 1)));
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
