package org.coriandercrank.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Number of a period of the store between two returns to an older copy of itself. Within an era nothing is lost that the
 * store has acknowledged, and revisions only grow. {@link #NONE} stands for a store that names no eras.
 *
 * <p>Immutable, between 0 and {@link #MAX_VALUE}.
 */
public record Era(@JsonValue long value) implements Comparable<Era> {
    /** The largest era that fits into a {@link Revision}. */
    public static final long MAX_VALUE = (1L << 21) - 1;

    public static final Era NONE = new Era(0);

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public Era {
        if (value < 0 || value > MAX_VALUE) {
            throw new IllegalArgumentException("era must be between 0 and " + MAX_VALUE + ": " + value);
        }
    }

    public boolean isNewerThan(Era other) {
        return value > other.value;
    }

    @Override
    public int compareTo(Era other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
