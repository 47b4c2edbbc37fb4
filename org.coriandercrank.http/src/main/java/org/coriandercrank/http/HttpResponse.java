package org.coriandercrank.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.coriandercrank.kernel.request.Header;

/**
 * An HTTP response, on the server or the client side. Immutable by convention: the body array must not be changed.
 *
 * @param headers with names in lower case; hop-by-hop fields are ignored when the response is written, except that
 *     {@code connection: close} makes the server close the connection
 */
public record HttpResponse(int status, List<Header> headers, byte[] body) {
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_FINAL_STATUS = 599;

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

    /** First value of a header; the name must be in lower case. */
    public Optional<String> header(String name) {
        return HeaderConverter.firstValue(headers, name);
    }

    /** Whether a status is that of a final response. The only definition of the range, for client and server. */
    static boolean isFinalStatus(int status) {
        return status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;
    }

    boolean hasFinalStatus() {
        return isFinalStatus(status);
    }

    /** Whether the server must close the connection after this response, because it has {@code connection: close}. */
    boolean closesConnection() {
        return header("connection").map("close"::equalsIgnoreCase).orElse(false);
    }

    /** The body decoded as UTF-8. */
    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
