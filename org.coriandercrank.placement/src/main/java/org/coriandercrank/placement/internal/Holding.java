package org.coriandercrank.placement.internal;

import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * A range that the gate serves, is about to serve or is giving up. Immutable.
 *
 * @param inherited records for the next attempt to acquire; empty once the range is served
 * @param served whether the gate has served the range under this fence
 * @param callOutstanding whether the gate has not answered yet
 * @param retryAtMs monotonic time of the next call to the gate after a failure
 */
record Holding(
        KeyRange range,
        Generation fence,
        Phase phase,
        TransferredRecords inherited,
        boolean served,
        boolean callOutstanding,
        long retryAtMs) {
    enum Phase {
        ACQUIRING,
        SERVING,
        RELEASING
    }

    Holding withRange(KeyRange part) {
        return new Holding(part, fence, phase, inherited, served, callOutstanding, retryAtMs);
    }

    Holding serving() {
        return new Holding(range, fence, Phase.SERVING, TransferredRecords.NONE, true, false, 0);
    }

    Holding releasing(KeyRange part) {
        return new Holding(part, fence, Phase.RELEASING, TransferredRecords.NONE, served, false, 0);
    }

    Holding called() {
        return new Holding(range, fence, phase, inherited, served, true, 0);
    }

    Holding failed(long nextTryMs) {
        return new Holding(range, fence, phase, inherited, served, false, nextTryMs);
    }
}
