package org.coriandercrank.http;

/**
 * Limits of an HTTP client. Immutable.
 *
 * @param maxConnections largest number of open connections; further requests wait in a queue
 * @param maxQueuedRequests largest number of requests in that queue; one more fails immediately
 * @param connectTimeoutMs time allowed for opening a connection
 * @param maxBodyBytes largest accepted response body; a larger one closes the connection
 * @param idleTimeoutMs time after its last response after which an unused connection is closed; a connection that has
 *     only been opened in advance stays open
 * @param responseMatcher checks whether a response belongs to the request in progress
 */
public record HttpClientOptions(
        int maxConnections,
        int maxQueuedRequests,
        int connectTimeoutMs,
        int maxBodyBytes,
        long idleTimeoutMs,
        ResponseMatcher responseMatcher) {
    private static final int DEFAULT_MAX_CONNECTIONS = 16;
    private static final int DEFAULT_MAX_QUEUED_REQUESTS = 1_024;
    private static final int DEFAULT_CONNECT_TIMEOUT_MS = 500;
    private static final int DEFAULT_MAX_BODY_BYTES = 16_777_216;
    private static final long DEFAULT_IDLE_TIMEOUT_MS = 30_000;

    public static final HttpClientOptions DEFAULTS = new HttpClientOptions(
            DEFAULT_MAX_CONNECTIONS,
            DEFAULT_MAX_QUEUED_REQUESTS,
            DEFAULT_CONNECT_TIMEOUT_MS,
            DEFAULT_MAX_BODY_BYTES,
            DEFAULT_IDLE_TIMEOUT_MS,
            ResponseMatcher.ACCEPT_ALL);

    /** Creates options that accept every response. */
    public HttpClientOptions(
            int maxConnections, int maxQueuedRequests, int connectTimeoutMs, int maxBodyBytes, long idleTimeoutMs) {
        this(
                maxConnections,
                maxQueuedRequests,
                connectTimeoutMs,
                maxBodyBytes,
                idleTimeoutMs,
                ResponseMatcher.ACCEPT_ALL);
    }

    /** Returns a copy with another connection limit. */
    public HttpClientOptions withMaxConnections(int newMaxConnections) {
        return new HttpClientOptions(
                newMaxConnections, maxQueuedRequests, connectTimeoutMs, maxBodyBytes, idleTimeoutMs, responseMatcher);
    }
}
