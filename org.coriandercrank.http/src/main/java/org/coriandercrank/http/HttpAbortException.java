package org.coriandercrank.http;

import java.util.Optional;

/**
 * A handler's future that fails with this exception closes the connection without a complete answer. Used by
 * stand-ins to produce lost and cut answers. Immutable.
 */
public final class HttpAbortException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient HttpResponse truncatedResponse;

    private HttpAbortException(HttpResponse cutReply) {
        super("connection closed on purpose", null, false, false);
        this.truncatedResponse = cutReply;
    }

    /** Closes the connection without writing any byte. */
    public static HttpAbortException withoutResponse() {
        return new HttpAbortException(null);
    }

    /** Writes the head of a reply and half of its body, then closes the connection. */
    public static HttpAbortException midResponse(HttpResponse reply) {
        return new HttpAbortException(reply);
    }

    /** The reply of which half is written. */
    public Optional<HttpResponse> truncatedResponse() {
        return Optional.ofNullable(truncatedResponse);
    }
}
