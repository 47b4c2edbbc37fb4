package org.coriandercrank.http;

import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * The requests of one call, sent one after the other, which end with the call if its caller cancels it.
 *
 * <p>Thread safe. After the cancellation no request is sent. A future that depends on a request does not pass its own
 * cancellation on, so without this class the request of a cancelled call keeps its connection until its timeout.
 */
public final class RequestSequence {
    private CompletableFuture<HttpResponse> latestRequest;
    private boolean cancelled;

    /** Sends the next request; fails with {@link CancellationException} without sending it if the call was cancelled. */
    public CompletableFuture<HttpResponse> send(Supplier<CompletableFuture<HttpResponse>> request) {
        synchronized (this) {
            if (!cancelled) {
                latestRequest = request.get();
                return latestRequest;
            }
        }
        return CompletableFuture.failedFuture(new CancellationException("the call was cancelled"));
    }

    /** Returns the result of the call; its cancellation from now on cancels the request in progress. */
    public <T> CompletableFuture<T> cancelWith(CompletableFuture<T> result) {
        result.whenComplete((value, failure) -> {
            if (result.isCancelled()) {
                cancel();
            }
        });
        return result;
    }

    private void cancel() {
        CompletableFuture<HttpResponse> request;
        synchronized (this) {
            cancelled = true;
            request = latestRequest;
        }
        if (request != null) {
            request.cancel(false);
        }
    }
}
