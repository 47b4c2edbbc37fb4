package org.coriandercrank.lease;

import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.table.Member;

/** What the driver of a {@link LeaseHolder} has to do. Immutable. */
public sealed interface HolderAction {
    /** Send a heartbeat to a witness and report its answer. */
    record SendHeartbeat(MemberId witness, Revision recordRevision, long sequence) implements HolderAction {}

    /** Write the own record on condition of a revision and report the result with the operation number. */
    record WriteRecord(long operation, Member record, Revision expected) implements HolderAction {}

    /** Read the own record and report the result with the operation number. */
    record ReadRecord(long operation) implements HolderAction {}

    /** The incarnation is over; the lease is invalid for good. */
    record End(String reason) implements HolderAction {}
}
