package org.coriandercrank.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one incarnation of a daemon; a restarted daemon gets a new id, unless it resumes its previous incarnation.
 *
 * <p>Immutable. The value has 1 to 96 characters of {@code [A-Za-z0-9._-]}.
 */
public record MemberId(@JsonValue String value) implements Comparable<MemberId> {
    private static final int MAX_LENGTH = 96;

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public MemberId {
        IdentifierSyntax.check("member id", value, MAX_LENGTH);
    }

    @Override
    public int compareTo(MemberId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
