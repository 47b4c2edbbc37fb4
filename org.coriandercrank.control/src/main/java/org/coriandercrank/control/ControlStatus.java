package org.coriandercrank.control;

import java.util.List;
import java.util.OptionalLong;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.message.Digest;
import org.coriandercrank.kernel.table.MemberState;

/**
 * State of the control plane for operators. Immutable.
 *
 * @param joined whether the record of this incarnation is known to be in the store
 * @param leaseRemainingMs 0 if the lease does not hold
 * @param relay whether this daemon is the relay of its region as far as it knows
 * @param watching whether this daemon watches the store, as relay or as fallback
 * @param configurationRevision revision of the configuration in force here
 * @param knownUpTo revisions up to which every change is known
 * @param takeovers members that this daemon is trying to seal
 */
public record ControlStatus(
        MemberId memberId,
        MemberState state,
        boolean joined,
        long leaseRemainingMs,
        List<WitnessStatus> witnesses,
        boolean relay,
        boolean watching,
        Revision configurationRevision,
        Digest knownUpTo,
        List<MemberId> takeovers) {
    /**
     * A witness of this daemon. Immutable.
     *
     * @param voteAgeMs time since the heartbeat of its latest vote was sent
     */
    public record WitnessStatus(MemberId witness, OptionalLong voteAgeMs) {}

    public ControlStatus {
        witnesses = List.copyOf(witnesses);
        takeovers = List.copyOf(takeovers);
    }
}
