package org.coriandercrank.placement.internal;

import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * A range that the gate serves, is about to serve or is giving up. Immutable.
 *
 * @param transferred records for the next attempt to acquire; empty once the range is served
 * @param served whether the gate has served the range under this fence
 * @param callPending whether the gate has not answered yet
 * @param retryAtMs monotonic time of the next call to the gate after a failure
 */
record HeldRange(
        KeyRange range,
        Generation fence,
        Phase phase,
        TransferredRecords transferred,
        boolean served,
        boolean callPending,
        long retryAtMs) {
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
