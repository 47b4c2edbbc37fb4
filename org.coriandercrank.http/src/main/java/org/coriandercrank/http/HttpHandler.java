package org.coriandercrank.http;

import java.util.concurrent.CompletableFuture;

/** Answers requests of a server. Called on an I/O thread; must not block. */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Starts handling a call.
     *
     * @param closed completes when the caller's connection closes before the answer was written
     * @return the answer; a failed future is answered with status 500, or closes the connection if it fails with
     *     {@link HttpAbortException}
     */
    CompletableFuture<HttpResponse> handle(HttpRequest call, CompletableFuture<Void> closed);
}
