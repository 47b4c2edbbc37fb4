package org.coriandercrank.lease;

import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.table.Member;

/** What the driver of a {@link Takeover} has to do. Immutable. */
public sealed interface TakeoverAction {
    /** Ask a witness to refuse the member and report its answer with the revision. */
    record RequestRefusal(MemberId witness, Revision recordRevision) implements TakeoverAction {}

    /** Write the sealed record on condition of a revision and report the result. */
    record Seal(long operation, Member sealed, Revision expected) implements TakeoverAction {}

    /** Read the record of the member and report the result. */
    record ReadRecord(long operation) implements TakeoverAction {}
}
