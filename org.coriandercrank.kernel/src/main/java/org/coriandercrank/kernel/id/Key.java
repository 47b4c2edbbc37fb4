package org.coriandercrank.kernel.id;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * A key of a service, as the caller wrote it after URL decoding.
 *
 * <p>Immutable; 1 to 256 UTF-8 bytes without control characters.
 */
public record Key(String value) {
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

    /** The position of this key in the hash space; the same on every daemon and version. */
    public KeyHash hash() {
        return new KeyHash(
                Hashing.murmur3_128().hashString(value, StandardCharsets.UTF_8).asLong());
    }

    @Override
    public String toString() {
        return value;
    }
}
