package org.coriandercrank.peer;

/**
 * Timeouts and limits of connections between daemons. Immutable.
 *
 * @param connectTimeoutMs maximum time until a connection is established
 * @param pingAfterSilenceMs a connection with outstanding calls is pinged after receiving nothing for this time
 * @param silenceTimeoutMs a connection with outstanding calls or an incomplete handshake is closed after receiving
 *     nothing for this time
 * @param idleTimeoutMs a connection without outstanding calls is closed after sending nothing for this time
 * @param maxOutstandingCalls maximum number of outstanding calls for each connection; further calls fail immediately
 */
public record PeerOptions(
        int connectTimeoutMs,
        long pingAfterSilenceMs,
        long silenceTimeoutMs,
        long idleTimeoutMs,
        int maxOutstandingCalls) {
    private static final int DEFAULT_CONNECT_TIMEOUT_MS = 500;
    private static final long DEFAULT_PING_AFTER_SILENCE_MS = 250;
    private static final long DEFAULT_SILENCE_TIMEOUT_MS = 750;
    private static final long DEFAULT_IDLE_TIMEOUT_MS = 60_000;
    private static final int DEFAULT_MAX_OUTSTANDING_CALLS = 10_000;

    public static final PeerOptions DEFAULTS = new PeerOptions(
            DEFAULT_CONNECT_TIMEOUT_MS,
            DEFAULT_PING_AFTER_SILENCE_MS,
            DEFAULT_SILENCE_TIMEOUT_MS,
            DEFAULT_IDLE_TIMEOUT_MS,
            DEFAULT_MAX_OUTSTANDING_CALLS);

    public PeerOptions {
        if (pingAfterSilenceMs >= silenceTimeoutMs) {
            throw new IllegalArgumentException("pingAfterSilenceMs must be less than silenceTimeoutMs");
        }
    }
}
