package org.coriandercrank.kernel.id;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * A key of a service, after URL decoding.
 *
 * <p>Immutable; 1 to 256 UTF-8 bytes without control characters.
 *
 * @param hash position of the key in the hash space; the same on every daemon and in every version
 */
public record Key(String value, KeyHash hash) {
    /** Maximum size of a numeric key in bits. */
    public static final int NUMBER_BITS = 16;

    private static final int MAX_BYTES = 256;

    public Key {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("key must not be empty");
        }
        if (value.getBytes(StandardCharsets.UTF_8).length > MAX_BYTES) {
            throw new IllegalArgumentException("key must have at most " + MAX_BYTES + " bytes");
        }
        if (value.chars().anyMatch(c -> c < ' ' || c == 127)) {
            throw new IllegalArgumentException("key must not have control characters");
        }
    }

    /** A key whose position is the hash of its text. */
    public Key(String value) {
        this(value, hashOf(value));
    }

    /**
     * A numeric key. Its number forms the leading bits of its position, so that positions have the order of the
     * numbers.
     */
    public static Key numbered(int number) {
        if (number < 0 || number >= 1 << NUMBER_BITS) {
            throw new IllegalArgumentException("key number must have at most " + NUMBER_BITS + " bits: " + number);
        }
        return new Key(Integer.toString(number), new KeyHash((long) number << (Long.SIZE - NUMBER_BITS)));
    }

    private static KeyHash hashOf(String value) {
        return new KeyHash(Hashing.murmur3_128()
                .hashString(value == null ? "" : value, StandardCharsets.UTF_8)
                .asLong());
    }

    @Override
    public String toString() {
        return value;
    }
}
