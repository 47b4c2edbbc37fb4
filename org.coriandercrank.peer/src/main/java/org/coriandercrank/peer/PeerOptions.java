package org.coriandercrank.peer;

/**
 * Times and limits of links. Immutable.
 *
 * @param pingAfterMs silence on a link with outstanding calls after which it is pinged
 * @param closeAfterMs silence on a link with outstanding calls after which it is closed
 * @param maxOutstandingCalls calls per link; one more fails at once
 */
public record PeerOptions(
        int connectTimeoutMs, long pingAfterMs, long closeAfterMs, long idleCloseMs, int maxOutstandingCalls) {
    public static final PeerOptions DEFAULTS = new PeerOptions(500, 250, 750, 60_000, 10_000);

    public PeerOptions {
        if (pingAfterMs >= closeAfterMs) {
            throw new IllegalArgumentException("pingAfterMs must be less than closeAfterMs");
        }
    }
}
