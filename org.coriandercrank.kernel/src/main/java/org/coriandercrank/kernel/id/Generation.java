package org.coriandercrank.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Version of the assignment table of a service. Each write of the table increases it by one, and the first write in an
 * era of the store raises it to the first generation of the era. The generation that assigned a range is the fencing
 * token of the range. {@link #NONE} stands for a table that does not exist.
 *
 * <p>Each era has its own generations, so a generation that the store has forgotten is never given out again, even if no
 * daemon remembers it.
 *
 * <p>Immutable, not negative.
 */
public record Generation(@JsonValue long value) implements Comparable<Generation> {
    public static final Generation NONE = new Generation(0);

    private static final int BITS_PER_ERA = 32;

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public Generation {
        if (value < 0) {
            throw new IllegalArgumentException("generation must not be negative: " + value);
        }
    }

    /** Returns the era in which the table was written. */
    public Era era() {
        return new Era(value >>> BITS_PER_ERA);
    }

    /** Returns the generation of the next table if that is written in the given era. */
    public Generation next(Era era) {
        return new Generation(Math.max(value, era.value() << BITS_PER_ERA) + 1);
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
