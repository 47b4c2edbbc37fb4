package org.coriandercrank.http;

/**
 * Limits of an HTTP client. Immutable.
 *
 * @param maxConnections open connections at most; further calls wait
 * @param maxWaiting calls that may wait for a connection; one more fails at once
 * @param idleCloseMs time after which an unused connection is closed
 */
public record HttpClientOptions(
        int maxConnections, int maxWaiting, int connectTimeoutMs, int maxBodyBytes, long idleCloseMs) {
    public static final HttpClientOptions DEFAULTS = new HttpClientOptions(16, 1_024, 500, 16_777_216, 30_000);

    public HttpClientOptions withMaxConnections(int newMaxConnections) {
        return new HttpClientOptions(newMaxConnections, maxWaiting, connectTimeoutMs, maxBodyBytes, idleCloseMs);
    }
}
