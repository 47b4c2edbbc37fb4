package org.coriandercrank.gate.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.gate.internal.Execution.AttachedBackend;

/**
 * Tracks whether the gate is draining, that is, refuses new requests.
 *
 * <p>A drain requested by {@link #requestDrain} is permanent; a drain by a rule of the configuration ends when the rule
 * is withdrawn, and one by an evacuation when the latter ends. The backend server is notified of a permanent drain once the queue is empty, because it may refuse the
 * requests that it receives afterwards. It is not notified of a drain by rule, because the protocol cannot end a drain;
 * refusing new requests is enough, since the backend server receives requests only from the gate. Not thread safe.
 */
final class DrainState {
    private final GateContext context;
    private final List<CompletableFuture<Void>> pendingDrains = new ArrayList<>();
    private final EvacuationState evacuation;
    private boolean drainRequested;
    private AttachedBackend notifiedBackend;

    DrainState(GateContext context) {
        this.context = context;
        evacuation = new EvacuationState(context);
    }

    /** Starts a permanent drain. The future completes when nothing is queued or in flight. */
    CompletableFuture<Void> requestDrain() {
        drainRequested = true;
        CompletableFuture<Void> result = new CompletableFuture<>();
        pendingDrains.add(result);
        return result;
    }

    boolean isDraining(AttachedBackend backend) {
        return drainRequested || isDrainedByRule(backend) || isEvacuated(backend);
    }

    /** Whether the failure domain is evacuated and the time for moving its ranges is over. */
    boolean isEvacuated(AttachedBackend backend) {
        return evacuation.isRefusing(backend != null);
    }

    /** Whether a rule of the configuration says that the backend server is about to end. */
    boolean isDrainedByRule(AttachedBackend backend) {
        return backend != null
                && context.routing().configuration().isDraining(backend.info().name());
    }

    /** Notifies the backend server and completes the pending drains as soon as this is possible. */
    void update(AttachedBackend backend, int queued, int inFlight) {
        if (queued > 0 || !isDraining(backend)) {
            return;
        }
        if (drainRequested && backend != null && !backend.equals(notifiedBackend)) {
            notifiedBackend = backend;
            context.logDecision(() -> "event=drain backend=" + backend.info().name());
            context.call(() -> backend.server().drain(), (done, failure) -> onDrainResult(backend, failure));
        }
        if (inFlight == 0) {
            List<CompletableFuture<Void>> completed = List.copyOf(pendingDrains);
            pendingDrains.clear();
            completed.forEach(c -> c.complete(null));
        }
    }

    private void onDrainResult(AttachedBackend backend, Throwable failure) {
        if (failure != null) {
            context.logDecision(
                    () -> "event=drain-not-told backend=" + backend.info().name() + " cause=" + failure);
        }
    }
}
