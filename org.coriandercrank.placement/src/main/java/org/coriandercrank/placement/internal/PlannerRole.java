package org.coriandercrank.placement.internal;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.coriandercrank.kernel.time.MonotonicClock;

/**
 * Takes over and renews the planner role by writing the planner object in the store.
 *
 * <p>Not thread safe: confined to the serial executor of the planner, on which results of the store are processed too.
 * After a failed or unanswered write the object is read back to find out whether the write took effect.
 */
public final class PlannerRole {
    private final MemberId self;
    private final ObjectStore store;
    private final MonotonicClock clock;
    private final Consumer<Runnable> enqueue;
    private final PlannerElection election;
    private final long ownRankHash;

    public PlannerRole(
            MemberId self,
            ObjectStore store,
            MonotonicClock clock,
            Consumer<Runnable> enqueue,
            PlannerElection.Options options) {
        this.self = self;
        this.store = store;
        this.clock = clock;
        this.enqueue = enqueue;
        this.ownRankHash = rankHash(self);
        this.election = new PlannerElection(self, options);
    }

    /** Whether this daemon holds the planner role now. */
    public boolean isHolder() {
        return election.isHolder(clock.nowMs());
    }

    /** Performs the store operation that is due, if any. Called periodically and after each change of the snapshot. */
    public void update(RoutingSnapshot snapshot) {
        boolean eligible = snapshot.member(self).map(Member::state).orElse(null) == MemberState.ACTIVE;
        boolean holderLost = election.holder()
                .flatMap(snapshot::member)
                .map(m -> m.state() == MemberState.SEALED || m.state() == MemberState.LEAVING)
                .orElse(false);
        switch (election.nextStep(clock.nowMs(), eligible, rank(snapshot), holderLost)) {
            case READ -> read();
            case WRITE -> write();
            case NONE -> {}
        }
    }

    /**
     * Position of this daemon among the active members. The members are ordered by a hash of their ids, so that
     * neighbouring hosts do not get adjacent ranks.
     */
    private int rank(RoutingSnapshot snapshot) {
        return (int) snapshot.members().values().stream()
                .map(VersionedMember::member)
                .filter(m -> m.state() == MemberState.ACTIVE && rankHash(m.id()) < ownRankHash)
                .count();
    }

    private static long rankHash(MemberId id) {
        return Hashing.murmur3_128()
                .hashString(id.value(), StandardCharsets.UTF_8)
                .asLong();
    }

    private void read() {
        election.readStarted();
        store.get(ObjectNames.PLANNER)
                .whenComplete((storedRecord, failure) -> enqueue.accept(() -> {
                    if (failure != null) {
                        election.readFailed(clock.nowMs());
                    } else {
                        readCompleted(storedRecord);
                    }
                }));
    }

    private void readCompleted(Optional<StoredObject> storedRecord) {
        try {
            Optional<PlannerRecord> record = storedRecord.map(o -> JsonCodec.decode(o.value(), PlannerRecord.class));
            election.readCompleted(
                    record, storedRecord.map(StoredObject::revision).orElse(Revision.NONE), clock.nowMs());
        } catch (CrankException e) {
            election.readFailed(clock.nowMs());
            throw e;
        }
    }

    private void write() {
        PlannerRecord record = election.writeStarted(clock.nowMs());
        store.put(ObjectNames.PLANNER, JsonCodec.encode(record), election.revision())
                .whenComplete((revision, failure) -> enqueue.accept(() -> {
                    if (failure == null) {
                        election.writeCompleted(record, revision);
                    } else {
                        read();
                    }
                }));
    }
}
