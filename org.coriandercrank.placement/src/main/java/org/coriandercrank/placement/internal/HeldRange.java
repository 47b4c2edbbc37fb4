package org.coriandercrank.placement.internal;

import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * A range that the gate is acquiring, serving or releasing. Immutable.
 *
 * @param fence fencing token of the range: the generation of the table that assigned it
 * @param transferred outcome records for the next attempt to acquire the range; empty once the range is served
 * @param served whether the gate has served the range under this fencing token
 * @param callPending whether a call to the gate is running
 * @param retryAtMs monotonic time before which the gate is not called again after a failure
 */
record HeldRange(
        KeyRange range,
        Generation fence,
        Phase phase,
        TransferredRecords transferred,
        boolean served,
        boolean callPending,
        long retryAtMs) {
    /** What the gate does or has to do with a held range. */
    enum Phase {
        ACQUIRING,
        SERVING,
        RELEASING
    }

    HeldRange withRange(KeyRange part) {
        return new HeldRange(part, fence, phase, transferred, served, callPending, retryAtMs);
    }

    HeldRange asServing() {
        return new HeldRange(range, fence, Phase.SERVING, TransferredRecords.NONE, true, false, 0);
    }

    HeldRange asReleasing(KeyRange part) {
        return new HeldRange(part, fence, Phase.RELEASING, TransferredRecords.NONE, served, false, 0);
    }

    HeldRange withCallPending() {
        return new HeldRange(range, fence, phase, transferred, served, true, 0);
    }

    HeldRange withRetryAt(long newRetryAtMs) {
        return new HeldRange(range, fence, phase, transferred, served, false, newRetryAtMs);
    }
}
