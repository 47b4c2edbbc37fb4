package org.coriandercrank.http;

import java.util.Optional;

/**
 * A handler's future that fails with this exception closes the connection without a complete answer. Used by
 * stand-ins to produce lost and cut answers. Immutable.
 */
public final class HttpAbortException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient HttpReply cutReply;

    private HttpAbortException(HttpReply cutReply) {
        super("connection closed on purpose", null, false, false);
        this.cutReply = cutReply;
    }

    /** Closes the connection without writing any byte. */
    public static HttpAbortException unanswered() {
        return new HttpAbortException(null);
    }

    /** Writes the head of a reply and half of its body, then closes the connection. */
    public static HttpAbortException midAnswer(HttpReply reply) {
        return new HttpAbortException(reply);
    }

    /** The reply of which half is written. */
    public Optional<HttpReply> cutReply() {
        return Optional.ofNullable(cutReply);
    }
}
