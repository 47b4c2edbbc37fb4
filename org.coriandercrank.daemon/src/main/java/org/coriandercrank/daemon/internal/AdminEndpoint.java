package org.coriandercrank.daemon.internal;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.coriandercrank.http.HttpCall;
import org.coriandercrank.http.HttpHandler;
import org.coriandercrank.http.HttpReply;
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

    /** What the endpoints show and change. Thread safe. */
    interface Source {
        DaemonStatus status();

        Readiness readiness();

        /** Takes the announcement of a backend server; fails if it cannot be used. */
        void announce(BackendInfo info);
    }

    private final Supplier<Source> source;
    private final PrometheusMeterRegistry metrics;

    AdminEndpoint(Supplier<Source> source, PrometheusMeterRegistry metrics) {
        this.source = source;
        this.metrics = metrics;
    }

    @Override
    public CompletableFuture<HttpReply> handle(HttpCall call, CompletableFuture<Void> closed) {
        return CompletableFuture.completedFuture(answer(call));
    }

    private HttpReply answer(HttpCall call) {
        return switch (call.method() + " " + call.path()) {
            case "GET /v1/status" ->
                HttpReply.json(OK, JsonCodec.encode(source.get().status()));
            case "GET /live" -> HttpReply.text(OK, "live\n");
            case "GET /ready" -> ready(source.get().readiness());
            case "GET /metrics" -> HttpReply.text(OK, metrics.scrape());
            case "POST /v1/backend" -> announce(call);
            default -> HttpReply.text(NOT_FOUND, "no such endpoint\n");
        };
    }

    private static HttpReply ready(Readiness readiness) {
        int status = readiness == Readiness.READY ? OK : UNAVAILABLE;
        return HttpReply.text(status, readiness + "\n");
    }

    private HttpReply announce(HttpCall call) {
        try {
            source.get().announce(JsonCodec.decode(call.body(), BackendInfo.class));
            return HttpReply.text(OK, "accepted\n");
        } catch (CrankException e) {
            return HttpReply.text(BAD_REQUEST, e.code() + " (" + e.code().number() + "): " + e.getMessage() + "\n");
        }
    }
}
