package org.coriandercrank.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** A position in the hash space of unsigned 64-bit numbers; compared as unsigned. Immutable. */
public record KeyHash(long value) implements Comparable<KeyHash> {
    public static final KeyHash MIN = new KeyHash(0);
    public static final KeyHash MAX = new KeyHash(-1);

    /** Parses 1 to 16 hexadecimal digits. */
    @JsonCreator
    public static KeyHash parse(String hex) {
        return new KeyHash(Long.parseUnsignedLong(hex, 16));
    }

    @Override
    public int compareTo(KeyHash other) {
        return Long.compareUnsigned(value, other.value);
    }

    @JsonValue
    @Override
    public String toString() {
        return String.format("%016x", value);
    }
}
