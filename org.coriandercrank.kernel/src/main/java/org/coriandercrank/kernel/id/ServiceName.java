package org.coriandercrank.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a service.
 *
 * <p>Immutable. The value has 1 to 64 characters of {@code [A-Za-z0-9._-]}.
 */
public record ServiceName(@JsonValue String value) implements Comparable<ServiceName> {
    private static final int MAX_LENGTH = 64;

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ServiceName {
        IdentifierSyntax.check("service name", value, MAX_LENGTH);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
