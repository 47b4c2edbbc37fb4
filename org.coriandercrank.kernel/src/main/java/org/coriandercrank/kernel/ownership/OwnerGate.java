package org.coriandercrank.kernel.ownership;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.backend.BackendServer;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.message.OutcomeAnswer;
import org.coriandercrank.kernel.message.OutcomeQuery;
import org.coriandercrank.kernel.placement.RangeLoad;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * The only path to the local backend server. Thread safe and never blocks the caller.
 *
 * <p>The gate sends a request to its server only while the lease is valid, the range of the key is served under its
 * fence, and a slot is free; it checks the lease immediately before it sends.
 */
public interface OwnerGate {
    /** Admits, refuses or answers a request from records; the future never fails. */
    CompletableFuture<CallerAnswer> submit(CallerRequest request);

    /** Stops a request: dequeues it, or asks the backend server to stop it. */
    void cancel(RequestId requestId);

    /** Reports what became of a request id, and bars the id if it was never admitted. */
    CompletableFuture<OutcomeAnswer> resolve(OutcomeQuery query);

    /** Uses a backend server that announced itself, in place of the one before. */
    void attach(BackendInfo info, BackendServer server);

    /**
     * Drops the backend server, which has certainly ended or whose grants have certainly lapsed, and gives up all
     * ranges at once. Requests that wait are refused.
     */
    void detach();

    /** Sends the backend server in use no further request, and refuses those that wait; it is about to end. */
    void stopSending();

    /**
     * Grants a range to the backend server and starts serving it. Completes when the range is served; fails if the
     * grant fails, and may then be called again.
     */
    CompletableFuture<Void> acquire(KeyRange range, Generation fence, TransferredRecords inherited);

    /**
     * Stops admitting requests of a range (also of a part of a served range), waits for those in flight, revokes the
     * grant and returns the records. Completes only when no execution for the range can happen any more.
     */
    CompletableFuture<TransferredRecords> release(KeyRange range);

    /** Takes no new work at all; completes when nothing is queued or in flight. */
    CompletableFuture<Void> drain();

    /** Rates per served range since the last seconds. */
    List<RangeLoad> loads();

    GateStatus status();

    /** Whether the backend server may hold part of a range that a former process of this daemon granted. */
    default boolean mayHoldEarlierGrant(KeyRange range) {
        return false;
    }

    /** How busy the gate is at present; cheap enough to be read with each answer. */
    default GateLoad load() {
        return GateLoad.NONE;
    }
}
