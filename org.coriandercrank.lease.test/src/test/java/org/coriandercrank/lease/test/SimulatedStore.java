package org.coriandercrank.lease.test;

import java.util.Optional;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/** A simulated store that holds the single member record of the simulation. Not thread safe. */
final class SimulatedStore {
    private Optional<VersionedMember> record = Optional.empty();
    private long lastRevision = 100;

    Optional<VersionedMember> read() {
        return record;
    }

    /** Writes the record if it has the expected revision and returns the new revision; empty on a conflict. */
    Optional<Revision> write(Member value, Revision expected) {
        Revision current = record.map(VersionedMember::revision).orElse(Revision.NONE);
        if (!current.equals(expected)) {
            return Optional.empty();
        }
        lastRevision++;
        record = Optional.of(new VersionedMember(value, new Revision(lastRevision)));
        return Optional.of(new Revision(lastRevision));
    }

    /** Returns a copy to which the store can return. */
    SimulatedStore copy() {
        SimulatedStore copy = new SimulatedStore();
        copy.record = record;
        copy.lastRevision = lastRevision;
        return copy;
    }

    /** Returns to a copy: writes since then are lost, and their revisions are given out again. */
    void returnTo(SimulatedStore copy) {
        record = copy.record;
        lastRevision = copy.lastRevision;
    }

    boolean isSealed() {
        return record.isPresent() && record.get().member().state() == MemberState.SEALED;
    }
}
