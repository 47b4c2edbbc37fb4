package org.coriandercrank.http;

/**
 * Limits of an HTTP client. Immutable.
 *
 * @param maxConnections largest number of open connections; further requests wait in a queue
 * @param maxQueuedRequests largest number of requests in that queue; one more fails immediately
 * @param connectTimeoutMs time allowed for opening a connection
 * @param maxBodyBytes largest accepted response body; a larger one closes the connection
 * @param idleTimeoutMs time after which an unused connection is closed
 * @param responseMatcher checks whether a response belongs to the request in progress
 */
public record HttpClientOptions(
        int maxConnections,
        int maxQueuedRequests,
        int connectTimeoutMs,
        int maxBodyBytes,
        long idleTimeoutMs,
        ResponseMatcher responseMatcher) {
    public static final HttpClientOptions DEFAULTS = new HttpClientOptions(
            /* maxConnections= */ 16,
            /* maxQueuedRequests= */ 1_024,
            /* connectTimeoutMs= */ 500,
            /* maxBodyBytes= */ 16_777_216,
            /* idleTimeoutMs= */ 30_000,
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
