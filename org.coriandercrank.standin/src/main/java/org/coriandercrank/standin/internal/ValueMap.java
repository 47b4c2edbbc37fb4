package org.coriandercrank.standin.internal;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;

/** Holds values by key. Not thread safe; confined to the executor of the server. */
final class ValueMap {
    /** An append keeps only the latest bytes of a value, so that a hot key does not exhaust the memory. */
    private static final int MAX_APPENDED_BYTES = 65_536;

    private final Map<String, byte[]> values = new HashMap<>();

    /** Applies a request: GET and HEAD read the value, PUT stores it, POST appends to it, DELETE removes it. */
    HttpResponse apply(String name, HttpRequest request) {
        return switch (request.method()) {
            case "GET", "HEAD" -> readValue(name);
            case "PUT" -> {
                values.put(name, request.body());
                yield lengthResponse(request.body().length);
            }
            case "POST" -> lengthResponse(values.merge(name, request.body(), ValueMap::append).length);
            case "DELETE" -> {
                values.remove(name);
                yield lengthResponse(0);
            }
            default -> HttpResponse.text(405, "method not allowed\n");
        };
    }

    /** Returns the value of a name, to be passed to {@link #restore}; empty if it has none. */
    Optional<byte[]> value(String name) {
        return Optional.ofNullable(values.get(name));
    }

    /** Gives a name the value that it had before a request was applied. */
    void restore(String name, Optional<byte[]> value) {
        value.ifPresentOrElse(bytes -> values.put(name, bytes), () -> values.remove(name));
    }

    int size() {
        return values.size();
    }

    private HttpResponse readValue(String name) {
        byte[] value = values.get(name);
        return value == null
                ? HttpResponse.text(404, "no value\n")
                : HttpResponse.of(200, "application/octet-stream", value);
    }

    private static HttpResponse lengthResponse(int length) {
        return HttpResponse.of(200, "text/plain", (length + "\n").getBytes(StandardCharsets.US_ASCII));
    }

    private static byte[] append(byte[] existing, byte[] added) {
        byte[] combined = Arrays.copyOf(existing, existing.length + added.length);
        System.arraycopy(added, 0, combined, existing.length, added.length);
        int excessBytes = combined.length - MAX_APPENDED_BYTES;
        return excessBytes <= 0 ? combined : Arrays.copyOfRange(combined, excessBytes, combined.length);
    }
}
