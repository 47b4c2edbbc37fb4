package org.coriandercrank.ingress.internal.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Decodes percent-encoded URL parts. A plus sign is not decoded as a space. Stateless. */
final class PercentDecoder {
    private static final int ESCAPE_LENGTH = 3;
    private static final int HEX_RADIX = 16;

    private PercentDecoder() {}

    /**
     * Decodes a text whose escaped octets are UTF-8.
     *
     * @throws IllegalArgumentException if an escape is truncated or malformed, the octets are not valid UTF-8, or the
     *     text contains a non-ASCII character
     */
    static String decode(String text) {
        ByteArrayOutputStream octets = new ByteArrayOutputStream(text.length());
        int i = 0;
        while (i < text.length()) {
            char c = text.charAt(i);
            if (c == '%') {
                octets.write(escapedOctet(text, i));
                i += ESCAPE_LENGTH;
            } else if (c < 128) {
                octets.write(c);
                i++;
            } else {
                throw new IllegalArgumentException("character at position " + i + " must be percent-encoded");
            }
        }
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(octets.toByteArray()))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new IllegalArgumentException("not valid UTF-8 after percent-decoding", e);
        }
    }

    /** Parses the escape that starts at a position. */
    private static int escapedOctet(String text, int at) {
        int high = at + 1 < text.length() ? Character.digit(text.charAt(at + 1), HEX_RADIX) : -1;
        int low = at + 2 < text.length() ? Character.digit(text.charAt(at + 2), HEX_RADIX) : -1;
        if (high < 0 || low < 0) {
            throw new IllegalArgumentException("malformed percent escape at position " + at);
        }
        return high * HEX_RADIX + low;
    }
}
