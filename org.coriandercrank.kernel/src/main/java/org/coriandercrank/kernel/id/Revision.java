package org.coriandercrank.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Version of a stored object: the value of the store's global write counter when the object was written. {@link #NONE}
 * stands for an object that does not exist.
 *
 * <p>Immutable, not negative.
 */
public record Revision(@JsonValue long value) implements Comparable<Revision> {
    public static final Revision NONE = new Revision(0);

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public Revision {
        if (value < 0) {
            throw new IllegalArgumentException("revision must not be negative: " + value);
        }
    }

    public boolean isNewerThan(Revision other) {
        return value > other.value;
    }

    @Override
    public int compareTo(Revision other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
