package org.coriandercrank.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Version of a stored object: the era of the store and the value of the store's global write counter when the object was
 * written. Revisions are ordered by era first, because the counter goes back when an era begins, and its values are given
 * out again. {@link #NONE} stands for an object that does not exist.
 *
 * <p>Immutable, not negative. The era occupies the high bits of {@code value}, so a revision of a store without eras is
 * the counter itself.
 */
public record Revision(@JsonValue long value) implements Comparable<Revision> {
    public static final Revision NONE = new Revision(0);

    private static final int NUMBER_BITS = 42;
    private static final long NUMBER_MASK = (1L << NUMBER_BITS) - 1;

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public Revision {
        if (value < 0) {
            throw new IllegalArgumentException("revision must not be negative: " + value);
        }
    }

    /**
     * Creates a revision.
     *
     * @param number value of the store's counter; 0 gives {@link #NONE}
     */
    public static Revision of(Era era, long number) {
        if (number < 0 || number > NUMBER_MASK) {
            throw new IllegalArgumentException("revision number must be between 0 and " + NUMBER_MASK + ": " + number);
        }
        return number == 0 ? NONE : new Revision(era.value() << NUMBER_BITS | number);
    }

    /** Returns the highest revision that an era can have. */
    public static Revision lastOf(Era era) {
        return of(era, NUMBER_MASK);
    }

    /** Returns the era in which the store named the object's version; {@link Era#NONE} for {@link #NONE}. */
    public Era era() {
        return new Era(value >>> NUMBER_BITS);
    }

    /** Returns the value of the store's counter. */
    public long number() {
        return value & NUMBER_MASK;
    }

    public boolean isNewerThan(Revision other) {
        return value > other.value;
    }

    @Override
    public int compareTo(Revision other) {
        return Long.compare(value, other.value);
    }

    /** Returns the value, which release notes refer to. */
    @Override
    public String toString() {
        return Long.toString(value);
    }
}
