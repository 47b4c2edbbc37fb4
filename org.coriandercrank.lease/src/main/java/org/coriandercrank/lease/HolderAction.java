package org.coriandercrank.lease;

import org.coriandercrank.kernel.id.BootId;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.table.Member;

/** Action that the driver of a {@link LeaseHolder} must carry out. Immutable. */
public sealed interface HolderAction {
    /** Send a heartbeat that names a process of the witness, and report its answer with the sequence number. */
    record SendHeartbeat(MemberId witness, Revision recordRevision, long sequence, BootId witnessBoot)
            implements HolderAction {}

    /** Write the own record if it still has the expected revision, and report the result with the operation number. */
    record WriteRecord(long operation, Member record, Revision expected) implements HolderAction {}

    /** Read the own record and report the result with the operation number. */
    record ReadRecord(long operation) implements HolderAction {}

    /** End the incarnation; its lease will never be valid again. */
    record End(String reason) implements HolderAction {}
}
