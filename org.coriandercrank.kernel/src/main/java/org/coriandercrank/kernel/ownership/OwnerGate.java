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
 * Gate in front of the local backend server. Every request to the server passes through it. Thread safe; never blocks
 * the caller.
 *
 * <p>The gate sends a request to its server only while the lease is valid, the range of the key is served under its
 * fencing token, and a slot is free. It checks the lease immediately before it sends.
 */
public interface OwnerGate {
    /** Admits a request, rejects it, or answers it from an outcome record. The future never fails. */
    CompletableFuture<CallerAnswer> submit(CallerRequest request);

    /** Cancels a request: removes it from the queue, or asks the backend server to stop it. */
    void cancel(RequestId requestId);

    /** Reports the state of a request id. An id that was never admitted is rejected from then on. */
    CompletableFuture<OutcomeAnswer> resolve(OutcomeQuery query);

    /** Replaces the backend server by one that announced itself. */
    void attach(BackendInfo info, BackendServer server);

    /**
     * Sends no more requests to the backend server, rejects the queued ones and gives up all ranges. A detach does not
     * mean that the server has ended: unless {@link #onServerEnded} was called, it counts as the holder of its ranges
     * until it has released them or their grants have expired.
     */
    void detach();

    /** Notes that the process of the backend server, attached or detached, has ended, so that it holds nothing. */
    default void onServerEnded() {}

    /**
     * Notes that the attached backend server is said to have been replaced by another process, which ends the calls that
     * run at it. The earlier process counts as the holder of its ranges until their grants have expired.
     */
    default void onServerRestarted() {}

    /** Notes that the backend server announced its end, which is then planned. It still receives requests. */
    default void onServerLeaving() {}

    /** Stops sending requests to the backend server, which is about to end, and rejects the queued requests. */
    void stopSending();

    /**
     * Grants a range to the backend server and starts serving it. Completes when the range is served; fails if the
     * grant fails, and may then be called again.
     */
    CompletableFuture<Void> acquire(KeyRange range, Generation fence, TransferredRecords records);

    /**
     * Stops admitting requests for a range, which may be part of a served range, waits for the requests in flight,
     * revokes the grant and returns the records. Completes only when no request for the range can be executed any more.
     */
    CompletableFuture<TransferredRecords> release(KeyRange range);

    /** Rejects all new requests; completes when no request is queued or in flight. */
    CompletableFuture<Void> drain();

    /** Request rates for each served range, measured over the last seconds. */
    List<RangeLoad> rangeLoads();

    GateStatus status();

    /**
     * Whether the backend server may still hold part of a range, or may still take it from an earlier grant, also one
     * that an earlier process or member of this daemon issued, and also if the server was detached.
     */
    default boolean mayHoldEarlierGrant(KeyRange range) {
        return false;
    }

    /** The current load of the gate; cheap enough to call for each answer. */
    default GateLoad load() {
        return GateLoad.NONE;
    }
}
