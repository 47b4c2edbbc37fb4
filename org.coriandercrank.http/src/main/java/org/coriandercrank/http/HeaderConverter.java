package org.coriandercrank.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coriandercrank.kernel.request.Header;

/** Converts between Netty's headers and {@link Header}. Stateless. */
final class HeaderConverter {
    static final String HOST = "host";

    /** Hop-by-hop header fields. They apply to one connection only and are set by this package. */
    private static final Set<String> CONNECTION_FIELDS = Set.of(
            "connection",
            "content-length",
            "expect",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private HeaderConverter() {}

    /** Copies all headers except the hop-by-hop ones, with names in lower case. */
    static List<Header> fromNetty(HttpHeaders headers) {
        List<Header> result = new ArrayList<>(headers.size());
        for (Map.Entry<String, String> entry : headers) {
            String name = entry.getKey().toLowerCase(Locale.ROOT);
            if (!CONNECTION_FIELDS.contains(name)) {
                result.add(new Header(name, entry.getValue()));
            }
        }
        return result;
    }

    /** Adds all headers except {@code Host} and the hop-by-hop ones. */
    static void toNetty(List<Header> headers, HttpHeaders target) {
        for (Header header : headers) {
            if (!CONNECTION_FIELDS.contains(header.name()) && !header.name().equals(HOST)) {
                target.add(header.name(), header.value());
            }
        }
    }

    /** First value of a header; the name must be in lower case. */
    static Optional<String> firstValue(List<Header> headers, String name) {
        for (Header header : headers) {
            if (header.name().equals(name)) {
                return Optional.of(header.value());
            }
        }
        return Optional.empty();
    }
}
