package org.coriandercrank.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Id of a release note, chosen by its submitter.
 *
 * <p>Immutable. The value has 1 to 96 characters of {@code [A-Za-z0-9._-]}.
 */
public record NoteId(@JsonValue String value) implements Comparable<NoteId> {
    private static final int MAX_LENGTH = 96;

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public NoteId {
        IdentifierSyntax.check("note id", value, MAX_LENGTH);
    }

    @Override
    public int compareTo(NoteId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
