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
    private static final int MAX_RELEASED = 4_096;

    /** A range that was released for good under a fence. Immutable. */
    public record Released(KeyRange range, Generation fence, Horizon horizon) {}

    private final List<RangeEntry> entries = new ArrayList<>();
    private final TreeMap<KeyHash, RangeEntry> servingByFirst = new TreeMap<>();
    private final List<Released> released = new ArrayList<>();
    private boolean releasedForgotten;

    public Optional<RangeEntry> serving(KeyHash hash) {
        Map.Entry<KeyHash, RangeEntry> floor = servingByFirst.floorEntry(hash);
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
        return select(e -> e.state() == state);
    }

    public List<RangeEntry> overlapping(KeyRange range) {
        return select(e -> e.range().overlaps(range));
    }

    /** The ranges that the backend server has to be granted. */
    public List<RangeEntry> grantable() {
        return select(e -> e.state().compareTo(State.RELEASING) <= 0);
    }

    public void add(RangeEntry entry) {
        entries.add(entry);
        index(entry);
    }

    public void remove(RangeEntry entry) {
        entries.remove(entry);
        servingByFirst.remove(entry.range().first(), entry);
    }

    public void advance(RangeEntry entry, State state) {
        servingByFirst.remove(entry.range().first(), entry);
        entry.advance(state);
        index(entry);
    }

    /** Takes an entry out of service. */
    public void startRelease(RangeEntry entry) {
        servingByFirst.remove(entry.range().first(), entry);
        entry.startRelease();
    }

    /** Splits an entry at the ends of a range and returns the part inside; the entry itself is then no longer used. */
    public RangeEntry cutOut(RangeEntry entry, KeyRange range) {
        if (range.contains(entry.range())) {
            return entry;
        }
        remove(entry);
        for (KeyRange outside : outside(entry.range(), range)) {
            add(entry.part(outside));
        }
        RangeEntry inside = entry.part(intersection(entry.range(), range));
        add(inside);
        return inside;
    }

    /** Notes for what is left of granted ranges that the backend server may hold them until a time. */
    public void hold(List<GrantedRange> granted, long untilNanos) {
        for (RangeEntry entry : entries) {
            if (isHeldThrough(entry, granted)) {
                entry.hold(untilNanos);
            }
        }
    }

    /** Whether granted ranges give the backend server rights to part of an entry. */
    public static boolean isHeldThrough(RangeEntry entry, List<GrantedRange> granted) {
        return granted.stream().anyMatch(entry::isHeldThrough);
    }

    /** Moves the horizon after the loss of a record that was made at a time. */
    public void moveHorizon(KeyHash hash, long sinceNanos) {
        for (RangeEntry entry : entries) {
            if (entry.range().contains(hash)) {
                entry.moveHorizon(sinceNanos);
            }
        }
    }

    public void addReleased(RangeEntry entry) {
        Released newest = new Released(entry.range(), entry.fence(), entry.horizon());
        released.removeIf(r -> newest.range().contains(r.range()) && !r.fence().isNewerThan(newest.fence()));
        released.add(newest);
        if (released.size() > MAX_RELEASED) {
            released.remove(0);
            releasedForgotten = true;
        }
    }

    /** Whether a range with a hash was released; true if it cannot be told any more. */
    public boolean mayHaveReleased(KeyHash hash) {
        return releasedForgotten || released.stream().anyMatch(r -> r.range().contains(hash));
    }

    public List<Released> releasedIn(KeyRange range) {
        return released.stream().filter(r -> r.range().overlaps(range)).toList();
    }

    /** Whether ranges together cover another. */
    public static boolean covers(List<KeyRange> parts, KeyRange whole) {
        List<KeyRange> missing = List.of(whole);
        for (KeyRange part : parts) {
            List<KeyRange> left = new ArrayList<>();
            for (KeyRange m : missing) {
                left.addAll(m.overlaps(part) ? outside(m, part) : List.of(m));
            }
            missing = left;
        }
        return missing.isEmpty();
    }

    private static List<KeyRange> outside(KeyRange whole, KeyRange cut) {
        List<KeyRange> outside = new ArrayList<>();
        if (whole.first().compareTo(cut.first()) < 0) {
            outside.add(new KeyRange(whole.first(), new KeyHash(cut.first().value() - 1)));
        }
        if (cut.last().compareTo(whole.last()) < 0) {
            outside.add(new KeyRange(new KeyHash(cut.last().value() + 1), whole.last()));
        }
        return outside;
    }

    static KeyRange intersection(KeyRange a, KeyRange b) {
        KeyHash first = a.first().compareTo(b.first()) > 0 ? a.first() : b.first();
        KeyHash last = a.last().compareTo(b.last()) < 0 ? a.last() : b.last();
        return new KeyRange(first, last);
    }

    private List<RangeEntry> select(Predicate<RangeEntry> condition) {
        return entries.stream().filter(condition).toList();
    }

    private void index(RangeEntry entry) {
        if (entry.state() == State.SERVING) {
            servingByFirst.put(entry.range().first(), entry);
        }
    }
}
