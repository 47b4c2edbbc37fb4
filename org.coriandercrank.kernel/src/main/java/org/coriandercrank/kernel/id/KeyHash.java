package org.coriandercrank.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** A position in the unsigned 64-bit hash space. Immutable; ordered as unsigned. */
public record KeyHash(long value) implements Comparable<KeyHash> {
    public static final KeyHash MIN = new KeyHash(0);
    public static final KeyHash MAX = new KeyHash(-1);

    /** Reads 1 to 16 hexadecimal digits. */
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
