package org.coriandercrank.placement.internal;

import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.table.KeyRange;

/** An action that an {@link OwnershipState} asks its caller to perform. Implementations are immutable. */
public sealed interface OwnershipAction {
    /** Acquire a range at the gate, and report the result to the state. */
    record Acquire(KeyRange range, Generation fence, TransferredRecords transferred) implements OwnershipAction {}

    /** Release a range at the gate, and report the result to the state. */
    record Release(KeyRange range) implements OwnershipAction {}

    /** Send a release request to a previous owner of a range, and report the answer to the state. */
    record RequestRelease(KeyRange range, Generation fence, MemberId previousOwner) implements OwnershipAction {}
}
