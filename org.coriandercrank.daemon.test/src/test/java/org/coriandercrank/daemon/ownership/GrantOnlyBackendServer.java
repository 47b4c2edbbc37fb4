package org.coriandercrank.daemon.ownership;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.daemon.HeartbeatGrants;
import org.coriandercrank.kernel.backend.BackendCall;
import org.coriandercrank.kernel.backend.BackendHealth;
import org.coriandercrank.kernel.backend.BackendServer;
import org.coriandercrank.kernel.backend.Grant;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.ownership.Handover;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.time.Stopwatch;

/** Client of a server that receives grants in the answers to its heartbeats, and no requests. Thread safe. */
final class GrantOnlyBackendServer implements BackendServer {
    private final HeartbeatGrants grants;

    GrantOnlyBackendServer(HeartbeatGrants grants) {
        this.grants = grants;
    }

    @Override
    public CompletableFuture<CallerAnswer> execute(BackendCall call) {
        throw new UnsupportedOperationException("no requests are sent");
    }

    @Override
    public void cancel(RequestId requestId) {}

    @Override
    public CompletableFuture<Long> grant(Grant grant, Stopwatch sinceValidity) {
        return grants.offer(grant, sinceValidity);
    }

    @Override
    public boolean mayHoldEarlierGrant(KeyRange range) {
        return grants.mayHold(range);
    }

    @Override
    public boolean hasCertainlyReleased(KeyRange range) {
        return grants.hasCertainlyReleased(range);
    }

    @Override
    public List<Handover> takeHandovers(KeyRange range) {
        return grants.takeHandovers(range);
    }

    @Override
    public CompletableFuture<Void> drain() {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<BackendHealth> health() {
        return CompletableFuture.completedFuture(new BackendHealth(true, false, 0));
    }

    @Override
    public void close() {}
}
