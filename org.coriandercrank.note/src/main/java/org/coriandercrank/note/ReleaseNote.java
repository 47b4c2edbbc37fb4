package org.coriandercrank.note;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.coriandercrank.kernel.id.NoteId;
import org.coriandercrank.kernel.id.Revision;

/**
 * A release note that has the published form. Immutable by convention: JSON nodes are not changed.
 *
 * @param basedOn revision of the configuration that the author saw; {@link Revision#NONE} if there was none
 */
public record ReleaseNote(NoteId id, Revision basedOn, List<Entry> entries) {
    /** What an entry does. */
    public enum Action {
        ADD("add"),
        CHANGE("change"),
        WITHDRAW("withdraw");

        private final String field;

        Action(String field) {
            this.field = field;
        }

        /** Field of the note that lists entries of this action. */
        public String field() {
            return field;
        }
    }

    /** What an entry is about. */
    public enum Subject {
        SERVICE("services", "name"),
        BACKEND("backends", "backendName");

        private final String field;
        private final String nameField;

        Subject(String field, String nameField) {
            this.field = field;
            this.nameField = nameField;
        }

        public String field() {
            return field;
        }

        /** Field of an entry that has its name. */
        public String nameField() {
            return nameField;
        }
    }

    /**
     * One entry of a note. Immutable by convention.
     *
     * @param path place in the note
     * @param fields the given fields; only the name for a withdrawal
     */
    public record Entry(String path, Action action, Subject subject, String name, ObjectNode fields) {}

    public ReleaseNote {
        entries = List.copyOf(entries);
    }
}
