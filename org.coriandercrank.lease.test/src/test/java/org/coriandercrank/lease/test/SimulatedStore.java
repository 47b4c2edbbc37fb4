package org.coriandercrank.lease.test;

import java.util.Optional;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/** The one member record of the simulation with conditional writes. Not thread safe. */
final class SimulatedStore {
    private Optional<VersionedMember> record = Optional.empty();
    private long revision = 100;

    Optional<VersionedMember> read() {
        return record;
    }

    /** Writes on condition of a revision; empty on a conflict. */
    Optional<Revision> write(Member value, Revision expected) {
        Revision current = record.map(VersionedMember::revision).orElse(Revision.NONE);
        if (!current.equals(expected)) {
            return Optional.empty();
        }
        revision++;
        record = Optional.of(new VersionedMember(value, new Revision(revision)));
        return Optional.of(new Revision(revision));
    }

    boolean isSealed() {
        return record.isPresent() && record.get().member().state() == MemberState.SEALED;
    }
}
