package org.coriandercrank.gate.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.gate.internal.Execution.Backend;

/**
 * Whether the gate takes new work. A drain by call is final; one by a rule ends with the rule. The backend server is
 * told of a final drain when the queue is empty, because it may refuse what it gets afterwards. It is not told of a
 * rule, because it cannot be told of the end of a drain; the gate, its only source of work, refuses new work. Not
 * thread safe.
 */
final class DrainState {
    private final GateRuntime runtime;
    private final List<CompletableFuture<Void>> waiting = new ArrayList<>();
    private boolean requested;
    private Backend told;

    DrainState(GateRuntime runtime) {
        this.runtime = runtime;
    }

    CompletableFuture<Void> request() {
        requested = true;
        CompletableFuture<Void> result = new CompletableFuture<>();
        waiting.add(result);
        return result;
    }

    boolean isDraining(Backend backend) {
        return requested
                || (backend != null
                        && runtime.routing()
                                .configuration()
                                .isDraining(backend.info().name()));
    }

    void advance(Backend backend, int queued, int inFlight) {
        if (queued > 0 || !isDraining(backend)) {
            return;
        }
        if (requested && backend != null && !backend.equals(told)) {
            told = backend;
            runtime.logDecision(() -> "event=drain backend=" + backend.info().name());
            runtime.call(() -> backend.server().drain(), (done, failure) -> onTold(backend, failure));
        }
        if (inFlight == 0) {
            List<CompletableFuture<Void>> complete = List.copyOf(waiting);
            waiting.clear();
            complete.forEach(c -> c.complete(null));
        }
    }

    private void onTold(Backend backend, Throwable failure) {
        if (failure != null) {
            runtime.logDecision(
                    () -> "event=drain-not-told backend=" + backend.info().name() + " cause=" + failure);
        }
    }
}
