package org.coriandercrank.note;

import java.util.List;
import java.util.Optional;
import org.coriandercrank.kernel.config.AcceptedNote;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.id.NoteId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.StoredObject;

/**
 * The notes that led to a configuration, as far back as the configuration lists them. Immutable.
 *
 * <p>An accepted note replaces exactly the revision that it is based on. The revision at which a note was accepted is
 * therefore the one that the next accepted note is based on; for the latest note it is the revision of the
 * configuration.
 *
 * @param revision revision of the configuration in the store
 */
public record AcceptanceHistory(Revision revision, Configuration configuration) {
    /** The state before the first note. */
    public static final AcceptanceHistory EMPTY = new AcceptanceHistory(Revision.NONE, Configuration.EMPTY);

    /** An accepted note and the revision at which it was accepted. Immutable. */
    public record Acceptance(AcceptedNote note, Revision revision) {}

    static AcceptanceHistory of(StoredObject object) {
        return new AcceptanceHistory(object.revision(), JsonCodec.decode(object.value(), Configuration.class));
    }

    /** Returns the acceptance of a note, or empty if no listed note has the id. */
    public Optional<Acceptance> find(NoteId id) {
        Revision acceptedRevision = revision;
        for (AcceptedNote note : configuration.recentNotes()) {
            if (note.id().equals(id)) {
                return Optional.of(new Acceptance(note, acceptedRevision));
            }
            acceptedRevision = note.basedOn();
        }
        return Optional.empty();
    }

    /** Whether the list contains every accepted note that is based on the given revision or a later one. */
    public boolean isCompleteSince(Revision basedOn) {
        List<AcceptedNote> notes = configuration.recentNotes();
        return notes.size() < Configuration.MAX_RECENT_NOTES
                || notes.get(notes.size() - 1).basedOn().compareTo(basedOn) <= 0;
    }

    /** Returns the listed notes that are based on the given revision or a later one, newest first. */
    List<AcceptedNote> since(Revision basedOn) {
        return configuration.recentNotes().stream()
                .filter(note -> note.basedOn().compareTo(basedOn) >= 0)
                .toList();
    }
}
