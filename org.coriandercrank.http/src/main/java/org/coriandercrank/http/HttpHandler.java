package org.coriandercrank.http;

import java.util.concurrent.CompletableFuture;

/** Handles the requests of an {@link HttpServer}. Called on an I/O thread; must not block. */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Starts handling a request.
     *
     * @param connectionClosed completes if the client's connection closes before the response is written
     * @return the response. If the future fails, the server responds with status 500, or closes the connection if the
     *     failure is an {@link HttpAbortException}.
     */
    CompletableFuture<HttpResponse> handle(HttpRequest request, CompletableFuture<Void> connectionClosed);

    /**
     * Starts handling a request that has waited in the server. Deadlines that the request states count from its
     * arrival.
     *
     * @param waitedNanos time since the server decoded the request
     */
    default CompletableFuture<HttpResponse> handle(
            HttpRequest request, CompletableFuture<Void> connectionClosed, long waitedNanos) {
        return handle(request, connectionClosed);
    }

    /**
     * Whether a request is handled although its client closed the connection before the server got to it. Suits
     * requests that inform the handler rather than ask for work.
     */
    default boolean handlesAbandonedRequests() {
        return false;
    }
}
