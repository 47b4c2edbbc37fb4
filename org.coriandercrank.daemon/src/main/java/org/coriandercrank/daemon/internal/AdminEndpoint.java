package org.coriandercrank.daemon.internal;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.coriandercrank.http.HttpHandler;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.status.DaemonStatus;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.table.BackendInfo;

/** Endpoints for operators, metrics and the local backend server. Thread safe. */
final class AdminEndpoint implements HttpHandler {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    /** Operations of the daemon that the endpoints call. Thread safe. */
    interface Operations {
        DaemonStatus status();

        Readiness readiness();

        /** Accepts the announcement of a backend server; throws {@link CrankException} if the server cannot be used. */
        void announce(BackendInfo info);
    }

    private final Supplier<Operations> operations;
    private final PrometheusMeterRegistry metrics;

    AdminEndpoint(Supplier<Operations> operations, PrometheusMeterRegistry metrics) {
        this.operations = operations;
        this.metrics = metrics;
    }

    @Override
    public CompletableFuture<HttpResponse> handle(HttpRequest request, CompletableFuture<Void> closed) {
        return CompletableFuture.completedFuture(respond(request));
    }

    /** An announcement counts also when the server no longer waits for the response. */
    @Override
    public boolean handlesAbandonedRequests() {
        return true;
    }

    private HttpResponse respond(HttpRequest request) {
        return switch (request.method() + " " + request.path()) {
            case "GET /v1/status" ->
                HttpResponse.json(OK, JsonCodec.encode(operations.get().status()));
            case "GET /live" -> HttpResponse.text(OK, "live\n");
            case "GET /ready" -> ready(operations.get().readiness());
            case "GET /metrics" -> HttpResponse.text(OK, metrics.scrape());
            case "POST /v1/backend" -> announce(request);
            default -> HttpResponse.text(NOT_FOUND, "no such endpoint\n");
        };
    }

    private static HttpResponse ready(Readiness readiness) {
        int status = readiness == Readiness.READY ? OK : UNAVAILABLE;
        return HttpResponse.text(status, readiness + "\n");
    }

    private HttpResponse announce(HttpRequest request) {
        try {
            operations.get().announce(JsonCodec.decode(request.body(), BackendInfo.class));
            return HttpResponse.text(OK, "accepted\n");
        } catch (CrankException e) {
            return HttpResponse.text(BAD_REQUEST, e.code() + " (" + e.code().number() + "): " + e.getMessage() + "\n");
        }
    }
}
