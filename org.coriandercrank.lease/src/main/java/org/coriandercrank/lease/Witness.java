package org.coriandercrank.lease;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;

/**
 * State machine of a daemon that votes on the leases of other members.
 *
 * <p>Invariants: a refusal is granted only if the last acknowledgement to the member is older than the expiry time;
 * after a refusal at revision v, no heartbeat at v or an older revision is acknowledged.
 *
 * <p>Memory is bounded: the least recently used member is evicted. Its acknowledgement and refusal are merged into
 * limits that apply to every member without an entry, so both invariants also hold for evicted members.
 *
 * <p>Not thread safe. Times are monotonic, in nanoseconds.
 */
public final class Witness {
    /**
     * Answer to a taker's request for a refusal. Immutable.
     *
     * @param granted whether the witness refuses the member from now on
     * @param retryAfterNanos delay before the taker should ask again; 0 if granted
     */
    public record RefusalDecision(boolean granted, long retryAfterNanos) {}

    private static final class Entry {
        private OptionalLong lastAckNanos = OptionalLong.empty();
        private Revision highestSeen = Revision.NONE;
        private Revision refusedUpTo = Revision.NONE;
    }

    private final LeaseTiming timing;
    private final int maxMembers;

    /** Entries in access order: the least recently used member comes first. */
    private final LinkedHashMap<MemberId, Entry> entries = new LinkedHashMap<>(16, 0.75f, true);

    /** Latest acknowledgement to any evicted member. */
    private OptionalLong evictedAckNanos = OptionalLong.empty();

    /** Newest record revision at which any evicted member was refused. */
    private Revision evictedRefusal = Revision.NONE;

    /**
     * Creates a witness.
     *
     * @param maxMembers maximum number of members whose votes are remembered individually
     */
    public Witness(LeaseTiming timing, int maxMembers) {
        if (maxMembers < 1) {
            throw new IllegalArgumentException("maxMembers must be at least 1");
        }
        this.timing = timing;
        this.maxMembers = maxMembers;
    }

    /**
     * Returns whether the heartbeat is acknowledged, and records the acknowledgement. The caller must send the
     * acknowledgement only after this call.
     */
    public boolean acceptHeartbeat(MemberId member, Revision recordRevision, long nowNanos) {
        Entry entry = entry(member);
        if (!recordRevision.isNewerThan(entry.refusedUpTo)) {
            return false;
        }
        entry.lastAckNanos = OptionalLong.of(nowNanos);
        if (recordRevision.isNewerThan(entry.highestSeen)) {
            entry.highestSeen = recordRevision;
        }
        return true;
    }

    /** Decides whether to refuse the member at a record revision; a taker with an outdated revision gets no refusal. */
    public RefusalDecision requestRefusal(MemberId member, Revision recordRevision, long nowNanos) {
        Entry entry = entry(member);
        if (entry.highestSeen.isNewerThan(recordRevision)) {
            return new RefusalDecision(false, timing.expiryNanos());
        }
        if (entry.lastAckNanos.isPresent()) {
            long ageNanos = nowNanos - entry.lastAckNanos.getAsLong();
            if (ageNanos <= timing.expiryNanos()) {
                return new RefusalDecision(false, timing.expiryNanos() - ageNanos + 1);
            }
        }
        if (recordRevision.isNewerThan(entry.refusedUpTo)) {
            entry.refusedUpTo = recordRevision;
        }
        return new RefusalDecision(true, 0);
    }

    /** Returns when this witness last acknowledged a heartbeat of a member; empty if it never did or was evicted. */
    public OptionalLong lastAckNanos(MemberId member) {
        Entry entry = entries.get(member);
        return entry == null ? OptionalLong.empty() : entry.lastAckNanos;
    }

    private Entry entry(MemberId member) {
        Entry existingEntry = entries.get(member);
        if (existingEntry != null) {
            return existingEntry;
        }
        Entry added = new Entry();
        added.lastAckNanos = evictedAckNanos;
        added.refusedUpTo = evictedRefusal;
        entries.put(member, added);
        if (entries.size() > maxMembers) {
            evictLeastRecentlyUsed();
        }
        return added;
    }

    private void evictLeastRecentlyUsed() {
        Iterator<Map.Entry<MemberId, Entry>> oldest = entries.entrySet().iterator();
        Entry entry = oldest.next().getValue();
        oldest.remove();
        if (entry.lastAckNanos.isPresent()) {
            long ackNanos = entry.lastAckNanos.getAsLong();
            evictedAckNanos = OptionalLong.of(
                    evictedAckNanos.isPresent() ? Nanos.later(ackNanos, evictedAckNanos.getAsLong()) : ackNanos);
        }
        if (entry.refusedUpTo.isNewerThan(evictedRefusal)) {
            evictedRefusal = entry.refusedUpTo;
        }
    }
}
