package org.coriandercrank.note;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.coriandercrank.kernel.id.NoteId;
import org.coriandercrank.kernel.id.Revision;

/**
 * A release note with valid structure. Immutable, provided that nobody changes its JSON nodes.
 *
 * @param basedOn revision of the configuration that the note changes; {@link Revision#NONE} if there was none
 */
public record ReleaseNote(NoteId id, Revision basedOn, List<Entry> entries) {
    /** Action of an entry. */
    public enum Action {
        ADD("add"),
        CHANGE("change"),
        WITHDRAW("withdraw");

        private final String field;

        Action(String field) {
            this.field = field;
        }

        /** Returns the field of the note that contains the entries with this action. */
        public String field() {
            return field;
        }
    }

    /** Type of the configuration object that an entry changes. */
    public enum Subject {
        SERVICE("services", "name"),
        BACKEND("backends", "backendName");

        private final String field;
        private final String nameField;

        Subject(String field, String nameField) {
            this.field = field;
            this.nameField = nameField;
        }

        /** Returns the field of an action that lists the entries of this type. */
        public String field() {
            return field;
        }

        /** Returns the field of an entry that contains the name of the object. */
        public String nameField() {
            return nameField;
        }
    }

    /**
     * One entry of a note. Immutable, provided that nobody changes its JSON node.
     *
     * @param path position of the entry in the note
     * @param name name of the configuration object
     * @param fields fields of the entry as given; for a withdrawal only the name
     */
    public record Entry(String path, Action action, Subject subject, String name, ObjectNode fields) {}

    public ReleaseNote {
        entries = List.copyOf(entries);
    }
}
