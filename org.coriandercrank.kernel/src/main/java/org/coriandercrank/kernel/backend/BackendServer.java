package org.coriandercrank.kernel.backend;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.ownership.Handover;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * A backend server. Implementations are thread safe and never block the caller.
 *
 * <p>Futures fail with a {@link org.coriandercrank.kernel.code.CrankException}: {@code BACKEND_UNAVAILABLE},
 * {@code FENCE_REJECTED}, {@code OVERLOADED} or {@code DEADLINE_EXPIRED} if the server certainly did not execute the
 * call, {@code OUTCOME_UNKNOWN} if it may have.
 */
public interface BackendServer extends AutoCloseable {
    /** Sends a call exactly once over a pooled connection. */
    CompletableFuture<CallerAnswer> execute(BackendCall call);

    /** Asks the server to stop a call, if it can; the future of the call still decides. */
    void cancel(RequestId requestId);

    /**
     * Replaces the granted ranges.
     *
     * @return the sequence that the server has after the call; larger than that of the grant if it was rejected as old
     */
    CompletableFuture<Long> grant(Grant grant);

    /** What the server left of released ranges that overlap a range, as far as it is known; each is returned once. */
    default List<Handover> takeHandovers(KeyRange range) {
        return List.of();
    }

    /**
     * Whether the server may hold part of a range that this process did not grant, left over from a former process of the
     * daemon. Until a grant without the range is acknowledged, or such a grant has lapsed, nobody else may get the range.
     */
    default boolean mayHoldEarlierGrant(KeyRange range) {
        return false;
    }

    /** Tells the server that it gets no new work. */
    CompletableFuture<Void> drain();

    CompletableFuture<BackendHealth> health();

    /** Whether the process of the server is there. Never fails. */
    default CompletableFuture<ProbeResult> probe() {
        return health().handle((health, failure) -> failure == null ? ProbeResult.ANSWERED : ProbeResult.SILENT);
    }

    @Override
    void close();
}
