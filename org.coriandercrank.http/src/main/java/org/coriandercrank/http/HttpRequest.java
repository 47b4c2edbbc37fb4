package org.coriandercrank.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.coriandercrank.kernel.request.Header;

/**
 * A request, on the server or the client side. Immutable by convention: the body array is not changed.
 *
 * @param target path and query, starting with a slash
 * @param headers without {@code Content-Length}, {@code Connection} and {@code Transfer-Encoding}; a client call without
 *     {@code Host} gets the address of its server
 */
public record HttpRequest(String method, String target, List<Header> headers, byte[] body) {
    public HttpRequest {
        headers = List.copyOf(headers);
    }

    public static HttpRequest of(String method, String target) {
        return new HttpRequest(method, target, List.of(), new byte[0]);
    }

    public static HttpRequest of(String method, String target, String body) {
        return new HttpRequest(method, target, List.of(), body.getBytes(StandardCharsets.UTF_8));
    }

    /** First value of a header; the name is in lower case. */
    public Optional<String> header(String name) {
        return HttpHeadersSupport.first(headers, name);
    }

    /** The target without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
