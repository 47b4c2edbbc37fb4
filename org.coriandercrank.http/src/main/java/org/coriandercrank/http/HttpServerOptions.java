package org.coriandercrank.http;

import java.util.function.IntFunction;

/**
 * Limits of an HTTP server. Immutable.
 *
 * @param rejectionResponse makes the answer to a request that the server cannot pass to the handler, from the HTTP status:
 *     400 malformed, 413 body too large, 431 header or request line too large
 */
public record HttpServerOptions(
        int maxInitialLineBytes, int maxHeaderBytes, int maxBodyBytes, IntFunction<HttpResponse> rejectionResponse) {
    public static final HttpServerOptions DEFAULTS =
            new HttpServerOptions(8_192, 16_384, 8_388_608, status -> HttpResponse.text(status, "request rejected\n"));
}
