package org.coriandercrank.adapters.internal;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Percent encoding of names in paths and headers. Stateless. */
public final class UrlEncoding {
    private UrlEncoding() {}

    /** Encodes all characters except unreserved ones. */
    public static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }

    /** Like {@link #encode}, but leaves slashes unencoded. */
    public static String encodePath(String text) {
        return encode(text).replace("%2F", "/");
    }
}
