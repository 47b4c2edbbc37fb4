package org.coriandercrank.lease;

import java.util.Optional;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.table.MemberState;

/**
 * What the holder of a lease knows about its record when the store returns from an older copy of itself.
 *
 * <p>A seal of the lost time is forgotten by the store. Only a member that could not be sealed at any time since its last
 * confirmed write knows that there was none: while its lease was valid, and for the TTL after the write, because a taker
 * must have known the record for longer. Not thread safe.
 */
final class StoreReturn {
    /** What a read in a new era shows. */
    enum Finding {
        /** The record of an earlier era, in a late answer. */
        OUTDATED,
        SEALED,
        /** A pending write took effect in this era. */
        WRITTEN,
        /** The record that was read before in this era. */
        UNCHANGED,
        /** Another record, or none; it has to be replaced. */
        OTHER
    }

    private Era era = Era.NONE;
    private boolean lapsed;

    private Optional<Revision> position = Optional.empty();

    /** Notes an era of the store; returns whether it is newer than the known one. */
    boolean observe(Era observed) {
        if (!observed.isNewerThan(era)) {
            return false;
        }
        era = observed;
        position = Optional.empty();
        return true;
    }

    /** Whether a revision is of an earlier era than the present one, so that the store may have another record. */
    boolean isOutdated(Revision revision) {
        return era.isNewerThan(revision.era());
    }

    /** Notes whether the member can be sealed at present; called before and after each event. */
    void observeSealable(boolean sealable) {
        lapsed |= sealable;
    }

    /** Whether the member could have been sealed at some time since the last confirmed write. */
    boolean hasLapsed() {
        return lapsed;
    }

    /**
     * Notes the record that the store has.
     *
     * @param read empty if there is none
     * @param pending whether the content is that of a pending write
     */
    Finding recordRead(Optional<VersionedMember> read, boolean pending) {
        Revision found = read.map(VersionedMember::revision).orElse(Revision.NONE);
        if (read.isPresent() && isOutdated(found)) {
            return Finding.OUTDATED;
        }
        if (read.isPresent() && read.get().member().state() == MemberState.SEALED) {
            return Finding.SEALED;
        }
        Optional<Revision> before = position;
        position = Optional.of(found);
        if (before.equals(position)) {
            return Finding.UNCHANGED;
        }
        return pending && before.isPresent() && found.isNewerThan(before.get()) ? Finding.WRITTEN : Finding.OTHER;
    }

    /** Revision of the record in the present era, {@link Revision#NONE} if there is none; empty if it is not known. */
    Optional<Revision> position() {
        return position;
    }

    /** Notes a confirmed write, which proves that the record was not sealed. */
    void recordConfirmed() {
        position = Optional.empty();
        lapsed = false;
    }
}
