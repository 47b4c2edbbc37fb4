package org.coriandercrank.lease;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.coriandercrank.kernel.id.BootId;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;

/**
 * State machine of a daemon that votes on the leases of other members.
 *
 * <p>Invariants: a refusal is granted only if the last acknowledgement to the member is older than the expiry time, and
 * to a taker that has known the record revision for longer; after a refusal at revision v, no heartbeat at v or an older revision is acknowledged.
 *
 * <p>A daemon that restarts may keep its member id, and so remain the witness of other members, but it does not know what
 * its earlier processes acknowledged and refused. Therefore, for the expiry time after its start it refuses no member,
 * and it acknowledges only heartbeats that name its process. The member names a process only if no earlier one can have
 * refused the record revision, see {@link LeaseHolder}.
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

    /** Answer to a heartbeat. */
    public enum HeartbeatDecision {
        ACKNOWLEDGED,
        /** The member was refused at the record revision of the heartbeat or a newer one. */
        REFUSED,
        /** The heartbeat names another process of this witness, or none. */
        OTHER_BOOT
    }

    private static final class Entry {
        private long lastAckNanos;
        private Revision highestSeen = Revision.NONE;
        private Revision refusedUpTo = Revision.NONE;
    }

    private final LeaseTiming timing;
    private final int maxMembers;

    /** Entries in access order: the least recently used member comes first. */
    private final LinkedHashMap<MemberId, Entry> entries = new LinkedHashMap<>(16, 0.75f, true);

    private final BootId boot;

    /**
     * Latest acknowledgement to any member without an entry: one that was evicted, or one that an earlier process may
     * have acknowledged until this process started.
     */
    private long forgottenAckNanos;

    /** Newest record revision at which any evicted member was refused. */
    private Revision evictedRefusal = Revision.NONE;

    /**
     * Creates a witness.
     *
     * @param maxMembers maximum number of members whose votes are remembered individually
     * @param boot identifies this process among those that use its member ids
     * @param startNanos when this process started, or later
     */
    public Witness(LeaseTiming timing, int maxMembers, BootId boot, long startNanos) {
        if (maxMembers < 1) {
            throw new IllegalArgumentException("maxMembers must be at least 1");
        }
        this.timing = timing;
        this.maxMembers = maxMembers;
        this.boot = boot;
        this.forgottenAckNanos = startNanos;
    }

    /** Returns the process that heartbeats must name. */
    public BootId boot() {
        return boot;
    }

    /**
     * Returns whether the heartbeat is acknowledged, and records the acknowledgement. The caller must send the
     * acknowledgement only after this call.
     *
     * @param namedBoot process that the heartbeat names
     */
    public HeartbeatDecision acceptHeartbeat(
            MemberId member, Revision recordRevision, BootId namedBoot, long nowNanos) {
        if (!namedBoot.equals(boot)) {
            return HeartbeatDecision.OTHER_BOOT;
        }
        Entry entry = entry(member);
        if (!recordRevision.isNewerThan(entry.refusedUpTo)) {
            return HeartbeatDecision.REFUSED;
        }
        entry.lastAckNanos = nowNanos;
        if (recordRevision.isNewerThan(entry.highestSeen)) {
            entry.highestSeen = recordRevision;
        }
        return HeartbeatDecision.ACKNOWLEDGED;
    }

    /**
     * Decides whether to refuse the member at a record revision; a taker with an outdated revision gets no refusal.
     *
     * @param knownForNanos time for which the taker has known the record revision
     */
    public RefusalDecision requestRefusal(MemberId member, Revision recordRevision, long knownForNanos, long nowNanos) {
        if (knownForNanos <= timing.expiryNanos()) {
            return new RefusalDecision(false, timing.expiryNanos() - knownForNanos + 1);
        }
        Entry entry = entry(member);
        if (entry.highestSeen.isNewerThan(recordRevision)) {
            return new RefusalDecision(false, timing.expiryNanos());
        }
        long ageNanos = nowNanos - entry.lastAckNanos;
        if (ageNanos <= timing.expiryNanos()) {
            return new RefusalDecision(false, timing.expiryNanos() - ageNanos + 1);
        }
        if (recordRevision.isNewerThan(entry.refusedUpTo)) {
            entry.refusedUpTo = recordRevision;
        }
        return new RefusalDecision(true, 0);
    }

    /**
     * Returns when this witness, or any earlier process of it, acknowledged a heartbeat of a member at the latest; empty
     * if this process knows nothing of the member.
     */
    public OptionalLong lastAckNanos(MemberId member) {
        Entry entry = entries.get(member);
        return entry == null ? OptionalLong.empty() : OptionalLong.of(entry.lastAckNanos);
    }

    private Entry entry(MemberId member) {
        Entry existingEntry = entries.get(member);
        if (existingEntry != null) {
            return existingEntry;
        }
        Entry added = new Entry();
        added.lastAckNanos = forgottenAckNanos;
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
        forgottenAckNanos = Nanos.later(forgottenAckNanos, entry.lastAckNanos);
        if (entry.refusedUpTo.isNewerThan(evictedRefusal)) {
            evictedRefusal = entry.refusedUpTo;
        }
    }
}
