package org.coriandercrank.placement.internal;

import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.table.KeyRange;

/** What the driver of an {@link OwnershipState} has to do next. Immutable. */
public sealed interface OwnershipAction {
    /** Call the gate to acquire a range and report the result. */
    record Acquire(KeyRange range, Generation fence, TransferredRecords transferred) implements OwnershipAction {}

    /** Call the gate to release a range and report the result. */
    record Release(KeyRange range) implements OwnershipAction {}

    /** Ask a previous owner to release a range and report the answer. */
    record RequestRelease(KeyRange range, Generation fence, MemberId previousOwner) implements OwnershipAction {}
}
