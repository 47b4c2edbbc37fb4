package org.coriandercrank.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Id of one request, unique across callers.
 *
 * <p>Immutable. The value has 1 to 128 characters of {@code [A-Za-z0-9._-]}.
 */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {
    private static final int MAX_LENGTH = 128;

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public RequestId {
        IdentifierSyntax.check("request id", value, MAX_LENGTH);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
