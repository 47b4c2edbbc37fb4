package org.coriandercrank.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Version of the assignment table of a service; each write of the table increases it by one. The generation that
 * assigned a range is the fencing token of the range. {@link #NONE} stands for a table that does not exist.
 *
 * <p>Immutable, not negative.
 */
public record Generation(@JsonValue long value) implements Comparable<Generation> {
    public static final Generation NONE = new Generation(0);

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public Generation {
        if (value < 0) {
            throw new IllegalArgumentException("generation must not be negative: " + value);
        }
    }

    public boolean isNewerThan(Generation other) {
        return value > other.value;
    }

    @Override
    public int compareTo(Generation other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
