package org.coriandercrank.http;

import java.util.function.IntFunction;

/**
 * Limits of an HTTP server. Immutable.
 *
 * @param maxInitialLineBytes largest request line
 * @param maxHeaderBytes largest size of all header fields together
 * @param maxBodyBytes largest request body
 * @param rejectionResponse creates the response to a request that is not passed to the handler, from its HTTP status:
 *     400 malformed request, 413 body too large, 431 header or request line too large
 */
public record HttpServerOptions(
        int maxInitialLineBytes, int maxHeaderBytes, int maxBodyBytes, IntFunction<HttpResponse> rejectionResponse) {
    private static final int DEFAULT_MAX_INITIAL_LINE_BYTES = 8_192;
    private static final int DEFAULT_MAX_HEADER_BYTES = 16_384;
    private static final int DEFAULT_MAX_BODY_BYTES = 8_388_608;

    public static final HttpServerOptions DEFAULTS = new HttpServerOptions(
            DEFAULT_MAX_INITIAL_LINE_BYTES,
            DEFAULT_MAX_HEADER_BYTES,
            DEFAULT_MAX_BODY_BYTES,
            status -> HttpResponse.text(status, "request rejected\n"));
}
