package org.coriandercrank.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.coriandercrank.kernel.request.Header;

/** An answer, on the server or the client side. Immutable by convention: the body array is not changed. */
public record HttpResponse(int status, List<Header> headers, byte[] body) {
    public HttpResponse {
        headers = List.copyOf(headers);
    }

    public static HttpResponse text(int status, String text) {
        return of(status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }

    public static HttpResponse json(int status, byte[] json) {
        return of(status, "application/json", json);
    }

    public static HttpResponse of(int status, String contentType, byte[] body) {
        return new HttpResponse(status, List.of(new Header("content-type", contentType)), body);
    }

    /** First value of a header; the name is in lower case. */
    public Optional<String> header(String name) {
        return HttpHeadersSupport.first(headers, name);
    }

    /** Whether the header {@code connection: close} asks the server to close the connection after this answer. */
    boolean asksForClose() {
        return header("connection").map("close"::equalsIgnoreCase).orElse(false);
    }

    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
