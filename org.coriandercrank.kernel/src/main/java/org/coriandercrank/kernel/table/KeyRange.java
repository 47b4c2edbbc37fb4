package org.coriandercrank.kernel.table;

import java.math.BigInteger;
import org.coriandercrank.kernel.id.KeyHash;

/** A range of the hash space; both ends are inclusive. Immutable, never empty. */
public record KeyRange(KeyHash first, KeyHash last) implements Comparable<KeyRange> {
    public static final KeyRange ALL = new KeyRange(KeyHash.MIN, KeyHash.MAX);

    private static final double HASH_SPACE_SIZE = Math.pow(2, 64);

    public KeyRange {
        if (first.compareTo(last) > 0) {
            throw new IllegalArgumentException("range is empty: " + first + " to " + last);
        }
    }

    public boolean contains(KeyHash hash) {
        return first.compareTo(hash) <= 0 && hash.compareTo(last) <= 0;
    }

    public boolean contains(KeyRange other) {
        return first.compareTo(other.first) <= 0 && other.last.compareTo(last) <= 0;
    }

    public boolean overlaps(KeyRange other) {
        return first.compareTo(other.last) <= 0 && other.first.compareTo(last) <= 0;
    }

    /** Fraction of the hash space that the range covers, greater than 0 and at most 1. */
    public double share() {
        double width = new BigInteger(Long.toUnsignedString(last.value() - first.value())).doubleValue() + 1;
        return width / HASH_SPACE_SIZE;
    }

    @Override
    public int compareTo(KeyRange other) {
        return first.compareTo(other.first);
    }

    @Override
    public String toString() {
        return first + "-" + last;
    }
}
