package org.coriandercrank.http;

/**
 * Limits of an HTTP client. Immutable.
 *
 * @param maxConnections open connections at most; further calls wait
 * @param maxQueuedRequests calls that may wait for a connection; one more fails at once
 * @param idleTimeoutMs time after which an unused connection is closed
 * @param responseMatcher tells replies that belong to a call from those that do not
 */
public record HttpClientOptions(
        int maxConnections,
        int maxQueuedRequests,
        int connectTimeoutMs,
        int maxBodyBytes,
        long idleTimeoutMs,
        ResponseMatcher responseMatcher) {
    public static final HttpClientOptions DEFAULTS =
            new HttpClientOptions(16, 1_024, 500, 16_777_216, 30_000, ResponseMatcher.ACCEPT_ALL);

    /** Options of a client that takes every reply. */
    public HttpClientOptions(
            int maxConnections, int maxWaiting, int connectTimeoutMs, int maxBodyBytes, long idleCloseMs) {
        this(maxConnections, maxWaiting, connectTimeoutMs, maxBodyBytes, idleCloseMs, ResponseMatcher.ACCEPT_ALL);
    }

    public HttpClientOptions withMaxConnections(int newMaxConnections) {
        return new HttpClientOptions(
                newMaxConnections, maxQueuedRequests, connectTimeoutMs, maxBodyBytes, idleTimeoutMs, responseMatcher);
    }
}
