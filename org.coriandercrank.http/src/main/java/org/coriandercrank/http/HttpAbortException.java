package org.coriandercrank.http;

import java.util.Optional;

/**
 * Makes the server close the connection without a complete response, if the future returned by an {@link HttpHandler}
 * fails with it. Simulated backend servers and stores use it to inject lost and truncated responses. Immutable.
 */
public final class HttpAbortException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient HttpResponse truncatedResponse;

    private HttpAbortException(HttpResponse truncatedResponse) {
        super("connection closed without a complete response", null, false, false);
        this.truncatedResponse = truncatedResponse;
    }

    /** Closes the connection without writing any byte of a response. */
    public static HttpAbortException withoutResponse() {
        return new HttpAbortException(null);
    }

    /** Writes the head of a response and half of its body, then closes the connection. */
    public static HttpAbortException midResponse(HttpResponse response) {
        return new HttpAbortException(response);
    }

    /** The response of which only a part is written; empty if nothing is written. */
    public Optional<HttpResponse> truncatedResponse() {
        return Optional.ofNullable(truncatedResponse);
    }
}
