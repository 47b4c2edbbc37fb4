package org.coriandercrank.placement.internal;

import java.util.HashMap;
import java.util.Map;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.table.MemberState;

/**
 * Deletes the records of sealed members that no table has referenced for a retention time.
 *
 * <p>Not thread safe. A deletion does no harm even if a newer table references the member: only sealed records are
 * deleted, and a member without a record counts as sealed.
 */
public final class MemberCleaner {
    private final ObjectStore store;
    private final long retentionMs;
    private final Map<MemberId, Long> unreferencedSinceMs = new HashMap<>();

    public MemberCleaner(ObjectStore store, long retentionMs) {
        this.store = store;
        this.retentionMs = retentionMs;
    }

    /** Checks all members of a snapshot and deletes the records whose retention time has passed. */
    public void deleteExpired(RoutingSnapshot snapshot, long nowMs) {
        unreferencedSinceMs.keySet().removeIf(m -> !snapshot.members().containsKey(m));
        snapshot.members().forEach((id, versioned) -> deleteIfExpired(snapshot, id, versioned, nowMs));
    }

    private void deleteIfExpired(RoutingSnapshot snapshot, MemberId id, VersionedMember versioned, long nowMs) {
        boolean referenced = snapshot.tables().values().stream().anyMatch(t -> t.references(id));
        if (versioned.member().state() != MemberState.SEALED || referenced) {
            unreferencedSinceMs.remove(id);
            return;
        }
        Long since = unreferencedSinceMs.putIfAbsent(id, nowMs);
        if (since != null && nowMs - since >= retentionMs) {
            unreferencedSinceMs.put(id, nowMs);
            store.delete(ObjectNames.member(id), versioned.revision());
        }
    }
}
