package org.coriandercrank.lease.test;

import java.util.Optional;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.ownership.KnownMember;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/** The one member record of the simulation with conditional writes. Not thread safe. */
final class SimulatedStore {
    private Optional<KnownMember> record = Optional.empty();
    private long revision = 100;

    Optional<KnownMember> read() {
        return record;
    }

    /** Writes on condition of a revision; empty on a conflict. */
    Optional<Revision> write(Member value, Revision expected) {
        Revision current = record.map(KnownMember::revision).orElse(Revision.NONE);
        if (!current.equals(expected)) {
            return Optional.empty();
        }
        revision++;
        record = Optional.of(new KnownMember(value, new Revision(revision)));
        return Optional.of(new Revision(revision));
    }

    boolean isSealed() {
        return record.isPresent() && record.get().member().state() == MemberState.SEALED;
    }
}
