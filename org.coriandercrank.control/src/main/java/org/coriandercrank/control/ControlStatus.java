package org.coriandercrank.control;

import java.util.List;
import java.util.OptionalLong;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.message.Digest;
import org.coriandercrank.kernel.table.MemberState;

/**
 * Status of the control plane, as shown to operators. Immutable.
 *
 * @param joined whether the record of this incarnation is known to be in the store
 * @param leaseRemainingMs time in milliseconds until the lease expires; 0 if the lease is not valid
 * @param relay whether this daemon considers itself the relay of its region
 * @param watching whether this daemon watches the store, as relay or as fallback
 * @param configurationRevision revision of the configuration in force on this daemon
 * @param knownUpTo revisions up to which this daemon has every change
 * @param takeovers members that this daemon is taking over
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
     * Status of a witness of this daemon. Immutable.
     *
     * @param voteAgeMs time since the heartbeat was sent that the witness acknowledged last; empty if there is none
     */
    public record WitnessStatus(MemberId witness, OptionalLong voteAgeMs) {}

    public ControlStatus {
        witnesses = List.copyOf(witnesses);
        takeovers = List.copyOf(takeovers);
    }
}
