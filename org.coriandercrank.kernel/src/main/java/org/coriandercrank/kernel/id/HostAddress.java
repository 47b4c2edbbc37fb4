package org.coriandercrank.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** An IP address and a TCP port. Immutable. Host names are not accepted, so no address needs a name lookup. */
public record HostAddress(String ip, int port) {
    private static final int MAX_PORT = 65_535;

    public HostAddress {
        if (ip == null || ip.isEmpty() || !ip.matches("[0-9a-fA-F.:]+")) {
            throw new IllegalArgumentException("not an IP address: " + ip);
        }
        if (port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("port out of range 0 to " + MAX_PORT + ": " + port);
        }
    }

    /**
     * Parses {@code ip:port}.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    @JsonCreator
    public static HostAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("expected ip:port, got " + text);
        }
        try {
            return new HostAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("expected ip:port, got " + text, e);
        }
    }

    @JsonValue
    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
