package org.coriandercrank.lease;

import java.util.Optional;
import java.util.OptionalLong;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/**
 * Decides whether a holder must write its record, and with which witnesses. Not thread safe; times are monotonic, in
 * nanoseconds.
 *
 * @param confirmed latest record that the store is known to have held
 * @param desired content that the record must have
 * @param refusedUpTo newest revision at which a witness refuses the member
 * @param outdated whether the store may have lost the confirmed record, because a new era has begun
 */
record RecordWriteRule(
        LeaseTiming timing,
        VoteTable votes,
        VersionedMember confirmed,
        Member desired,
        Revision refusedUpTo,
        boolean outdated) {
    /**
     * Returns the record to write now; empty if no write is due.
     *
     * @param hasPendingWrites whether there are writes that may still take effect
     * @param validUntilNanos end of the lease
     * @param lastWriteNanos when the record was last sent to the store
     */
    Optional<Member> recordToWrite(
            boolean hasPendingWrites, long validUntilNanos, OptionalLong lastWriteNanos, long nowNanos) {
        if (desired.state() == MemberState.SEALED) {
            return Optional.of(desired);
        }
        Member current = confirmed.member();
        Member desiredWithCurrentWitnesses = desired.withWitnesses(current.witnesses());
        if (outdated) {
            return Optional.of(desiredWithCurrentWitnesses);
        }
        boolean witnessesChanged = !desired.witnesses().equals(current.witnesses());
        if (witnessesChanged && canChangeWitnesses(validUntilNanos, nowNanos)) {
            return Optional.of(desired);
        }
        boolean revisionRefused = !confirmed.revision().isNewerThan(refusedUpTo);
        boolean contentChanged = !desiredWithCurrentWitnesses.equals(current);
        if (revisionRefused
                || contentChanged
                || hasPendingWrites
                || isRenewalDue(witnessesChanged, lastWriteNanos, nowNanos)) {
            return Optional.of(desiredWithCurrentWitnesses);
        }
        return Optional.empty();
    }

    /** Whether the new witnesses have voted, or there is no valid lease that the change could interrupt. */
    private boolean canChangeWitnesses(long validUntilNanos, long nowNanos) {
        return validUntilNanos - nowNanos <= 0
                || votes.validUntilNanos(desired.witnesses()) - nowNanos > timing.ttlNanos() / 2;
    }

    /**
     * Whether the record must be rewritten to renew the vote of the store. A change to witnesses that lack votes is
     * preceded by a renewal, because the vote of the store may complete their majority. Without enough votes of
     * witnesses the vote of the store is useless and a renewal harmful: each new revision makes takers wait anew, so a
     * member that reaches only the store would keep its ranges from being served by others.
     */
    private boolean isRenewalDue(boolean witnessesChanged, OptionalLong lastWriteNanos, long nowNanos) {
        if (lastWriteNanos.isPresent() && nowNanos - lastWriteNanos.getAsLong() < timing.minRenewalIntervalNanos()) {
            return false;
        }
        return votes.needsStore(confirmed.member().witnesses(), nowNanos)
                || (witnessesChanged && votes.needsStore(desired.witnesses(), nowNanos));
    }
}
