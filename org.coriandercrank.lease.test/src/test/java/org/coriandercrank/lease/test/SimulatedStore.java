package org.coriandercrank.lease.test;

import java.util.Optional;
import java.util.Random;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/**
 * A simulated store that holds the single member record of the simulation. All revisions have the present era. Not
 * thread safe.
 */
final class SimulatedStore {
    private Optional<VersionedMember> record = Optional.empty();
    /** Writes of other objects, which use numbers of the same counter. */
    private static final int MAX_OTHER_WRITES = 8;

    private final boolean lateWritesCrossEras;
    private final Random otherWrites = new Random(1);
    private long lastNumber = 100;
    private Era era = new Era(1);

    SimulatedStore(boolean lateWritesCrossEras) {
        this.lateWritesCrossEras = lateWritesCrossEras;
    }

    Era era() {
        return era;
    }

    Optional<VersionedMember> read() {
        return record;
    }

    /**
     * Writes the record if it has the number of the expected revision, in a store whose late writes cross eras whatever
     * its era, and returns the new revision; empty on a conflict.
     */
    Optional<Revision> write(Member value, Revision expected) {
        Revision current = record.map(VersionedMember::revision).orElse(Revision.NONE);
        boolean matches = lateWritesCrossEras ? current.number() == expected.number() : current.equals(expected);
        if (!matches) {
            return Optional.empty();
        }
        lastNumber += 1 + otherWrites.nextInt(MAX_OTHER_WRITES);
        record = Optional.of(new VersionedMember(value, Revision.of(era, lastNumber)));
        return record.map(VersionedMember::revision);
    }

    /** Returns a copy to which the store can return. */
    SimulatedStore copy() {
        SimulatedStore copy = new SimulatedStore(lateWritesCrossEras);
        copy.record = record;
        copy.lastNumber = lastNumber;
        return copy;
    }

    /** Returns to a copy: writes since then are lost, their numbers are given out again, and a new era begins. */
    void returnTo(SimulatedStore copy) {
        era = new Era(era.value() + 1);
        record = copy.record.map(found -> new VersionedMember(
                found.member(), Revision.of(era, found.revision().number())));
        lastNumber = copy.lastNumber;
    }

    boolean isSealed() {
        return record.isPresent() && record.get().member().state() == MemberState.SEALED;
    }
}
