package org.coriandercrank.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.coriandercrank.kernel.request.Header;

/**
 * An HTTP request, on the server or the client side. Immutable by convention: the body array must not be changed.
 *
 * @param target path and query, starting with a slash
 * @param headers with names in lower case, without hop-by-hop fields such as {@code Content-Length}, {@code Connection}
 *     and {@code Transfer-Encoding}; a request of a client gets the address of the server as {@code Host} if it has
 *     none
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

    /** First value of a header; the name must be in lower case. */
    public Optional<String> header(String name) {
        return HeaderConverter.firstValue(headers, name);
    }

    /** The target without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
