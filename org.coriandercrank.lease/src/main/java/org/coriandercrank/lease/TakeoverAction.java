package org.coriandercrank.lease;

import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.table.Member;

/** Action that the driver of a {@link Takeover} must carry out. Immutable. */
public sealed interface TakeoverAction {
    /**
     * Ask a witness to refuse the member at a record revision, which this daemon has known for a time, and report the
     * answer with that revision.
     */
    record RequestRefusal(MemberId witness, Revision recordRevision, long knownForNanos) implements TakeoverAction {}

    /**
     * Write the sealed record if it still has the expected revision, and report the result with the operation number.
     */
    record Seal(long operation, Member sealed, Revision expected) implements TakeoverAction {}

    /** Read the record of the member and report the result with the operation number. */
    record ReadRecord(long operation) implements TakeoverAction {}
}
