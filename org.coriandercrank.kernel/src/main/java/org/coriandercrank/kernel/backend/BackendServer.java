package org.coriandercrank.kernel.backend;

import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.request.CallerAnswer;

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

    /** Tells the server that it gets no new work. */
    CompletableFuture<Void> drain();

    CompletableFuture<BackendHealth> health();

    @Override
    void close();
}
