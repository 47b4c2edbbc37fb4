package org.coriandercrank.gate.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.gate.internal.Execution.AttachedBackend;

/**
 * Whether the gate takes new work. A drain by call is final; one by a rule ends with the rule. The backend server is
 * told of a final drain when the queue is empty, because it may refuse what it gets afterwards. It is not told of a
 * rule, because it cannot be told of the end of a drain; the gate, its only source of work, refuses new work. Not
 * thread safe.
 */
final class DrainState {
    private final GateContext context;
    private final List<CompletableFuture<Void>> pendingDrains = new ArrayList<>();
    private boolean drainRequested;
    private AttachedBackend notifiedBackend;

    DrainState(GateContext context) {
        this.context = context;
    }

    CompletableFuture<Void> requestDrain() {
        drainRequested = true;
        CompletableFuture<Void> result = new CompletableFuture<>();
        pendingDrains.add(result);
        return result;
    }

    boolean isDraining(AttachedBackend backend) {
        return drainRequested
                || (backend != null
                        && context.routing()
                                .configuration()
                                .isDraining(backend.info().name()));
    }

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
