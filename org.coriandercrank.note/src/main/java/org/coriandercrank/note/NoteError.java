package org.coriandercrank.note;

/**
 * One error in a release note. Immutable.
 *
 * @param path position in the note, such as {@code add.services[0].maxBodyBytes}; empty for the whole note
 */
public record NoteError(String path, Kind kind, String message) {
    /** Kinds of errors. The number of a kind never changes and is printed after its name. */
    public enum Kind {
        UNREADABLE(1),
        MISSING(2),
        UNKNOWN_FIELD(3),
        WRONG_TYPE(4),
        OUT_OF_RANGE(5),
        ALREADY_EXISTS(6),
        NOT_FOUND(7),
        IN_USE(8),
        CONFLICTING_ENTRIES(9),
        EMPTY_NOTE(10);

        private final int number;

        Kind(int number) {
            this.number = number;
        }

        public int number() {
            return number;
        }
    }

    @Override
    public String toString() {
        return path + ": " + kind + " (" + kind.number() + "): " + message;
    }
}
