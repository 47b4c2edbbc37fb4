package org.coriandercrank.kernel.backend;

import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.ownership.Handover;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.time.MonotonicClock;
import org.coriandercrank.kernel.time.Stopwatch;

/**
 * Client of one backend server. Implementations are thread safe and never block the caller.
 *
 * <p>Futures fail with a {@link org.coriandercrank.kernel.code.CrankException}: {@code BACKEND_UNAVAILABLE}, {@code
 * FENCE_REJECTED}, {@code OVERLOADED} or {@code DEADLINE_EXPIRED} if the server definitely did not execute the call,
 * {@code OUTCOME_UNKNOWN} if it may have executed it.
 */
public interface BackendServer extends AutoCloseable {
    /** Sends a call over a pooled connection; never sends it a second time. */
    CompletableFuture<CallerAnswer> execute(BackendCall call);

    /**
     * Asks the server to stop a call, if the server supports this. The future of {@link #execute} still reports the
     * outcome.
     */
    void cancel(RequestId requestId);

    /**
     * Replaces the set of granted ranges.
     *
     * @return the sequence of the latest grant that the server accepted; larger than the sequence of {@code grant} if
     *     the server rejected {@code grant} as outdated
     * @param sinceValidity started before the validity of {@code grant} was determined; on a clock that includes
     *     suspensions of the host if the lease does. The grant must not outlast its validity counted from that start,
     *     however late it is sent.
     */
    CompletableFuture<Long> grant(Grant grant, Stopwatch sinceValidity);

    /** Replaces the set of granted ranges by a grant whose validity counts from this call. */
    default CompletableFuture<Long> grant(Grant grant) {
        return grant(grant, Stopwatch.start(MonotonicClock.SYSTEM));
    }

    /** Returns and removes the handover tokens received so far for released ranges that overlap a range. */
    default List<Handover> takeHandovers(KeyRange range) {
        return List.of();
    }

    /**
     * Whether the server may still hold part of a range, or may still take it from an earlier grant: one of an earlier
     * process of this daemon, or one that is on its way although the server has acknowledged a later grant. No other
     * server may be granted the range before this ends.
     */
    default boolean mayHoldEarlierGrant(KeyRange range) {
        return false;
    }

    /**
     * Whether the server certainly neither holds part of a range nor can take it from a grant that was sent, without an
     * answer to a revocation. A server of which nothing is known never has.
     */
    default boolean hasCertainlyReleased(KeyRange range) {
        return false;
    }

    /**
     * The number of requests per second that the server takes from all daemons together, as stated in its latest
     * response; empty if that response states no limit.
     */
    default OptionalDouble maxRequestsPerSecond() {
        return OptionalDouble.empty();
    }

    /** Returns the latest that the server stated about itself; {@link ServerReport#NONE} if it stated nothing. */
    default ServerReport report() {
        return ServerReport.NONE;
    }

    /** Notifies the server that it will receive no new requests. */
    CompletableFuture<Void> drain();

    /** Asks the server for its health. */
    CompletableFuture<BackendHealth> health();

    /** Checks whether the process of the server is running. The future never fails. */
    default CompletableFuture<ProbeResult> probe() {
        return health().handle((health, failure) -> failure == null ? ProbeResult.ANSWERED : ProbeResult.SILENT);
    }

    @Override
    void close();
}
