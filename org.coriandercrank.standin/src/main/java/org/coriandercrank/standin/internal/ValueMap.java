package org.coriandercrank.standin.internal;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;

/** Values by key. Not thread safe; confined to the duty of the server. */
final class ValueMap {
    /** An appended value keeps its latest bytes, so that a hot key does not exhaust the memory. */
    private static final int MAX_APPENDED_BYTES = 65_536;

    private final Map<String, byte[]> values = new HashMap<>();

    /** Applies a request: GET and HEAD read, PUT stores, POST appends, DELETE removes. */
    HttpResponse apply(String name, HttpRequest call) {
        return switch (call.method()) {
            case "GET", "HEAD" -> read(name);
            case "PUT" -> {
                values.put(name, call.body());
                yield stored(call.body().length);
            }
            case "POST" -> stored(values.merge(name, call.body(), ValueMap::append).length);
            case "DELETE" -> {
                values.remove(name);
                yield stored(0);
            }
            default -> HttpResponse.text(405, "method not allowed\n");
        };
    }

    int size() {
        return values.size();
    }

    private HttpResponse read(String name) {
        byte[] value = values.get(name);
        return value == null ? HttpResponse.text(404, "no value\n") : HttpResponse.of(200, "application/octet-stream", value);
    }

    private static HttpResponse stored(int length) {
        return HttpResponse.of(200, "text/plain", (length + "\n").getBytes(StandardCharsets.US_ASCII));
    }

    private static byte[] append(byte[] old, byte[] added) {
        byte[] joined = Arrays.copyOf(old, old.length + added.length);
        System.arraycopy(added, 0, joined, old.length, added.length);
        int surplus = joined.length - MAX_APPENDED_BYTES;
        return surplus <= 0 ? joined : Arrays.copyOfRange(joined, surplus, joined.length);
    }
}
