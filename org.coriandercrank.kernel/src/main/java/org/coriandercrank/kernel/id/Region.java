package org.coriandercrank.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a region.
 *
 * <p>Immutable. The value has 1 to 64 characters of {@code [A-Za-z0-9._-]}.
 */
public record Region(@JsonValue String value) implements Comparable<Region> {
    private static final int MAX_LENGTH = 64;

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public Region {
        IdentifierSyntax.check("region", value, MAX_LENGTH);
    }

    @Override
    public int compareTo(Region other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
