package org.coriandercrank.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a failure domain, unique across regions.
 *
 * <p>Immutable. The value has 1 to 64 characters of {@code [A-Za-z0-9._-]}.
 */
public record FailureDomain(@JsonValue String value) implements Comparable<FailureDomain> {
    private static final int MAX_LENGTH = 64;

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public FailureDomain {
        IdentifierSyntax.check("failure domain", value, MAX_LENGTH);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
