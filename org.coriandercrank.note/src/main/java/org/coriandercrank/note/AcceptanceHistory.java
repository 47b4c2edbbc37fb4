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
 * The notes that made the configuration, as far back as it lists them. Immutable.
 *
 * <p>Each accepted note was written over the revision that it is based on, so the revision at which a note was accepted
 * is the one that the next accepted note is based on, or that of the configuration for the latest note.
 *
 * @param revision revision of the configuration
 */
public record AcceptanceHistory(Revision revision, Configuration configuration) {
    /** State before the first note. */
    public static final AcceptanceHistory EMPTY = new AcceptanceHistory(Revision.NONE, Configuration.EMPTY);

    /** An accepted note and the revision at which it was accepted. Immutable. */
    public record Acceptance(AcceptedNote note, Revision revision) {}

    static AcceptanceHistory of(StoredObject object) {
        return new AcceptanceHistory(object.revision(), JsonCodec.decode(object.value(), Configuration.class));
    }

    /** Where a note was accepted, or empty if no listed note has the id. */
    public Optional<Acceptance> find(NoteId id) {
        Revision accepted = revision;
        for (AcceptedNote note : configuration.recentNotes()) {
            if (note.id().equals(id)) {
                return Optional.of(new Acceptance(note, accepted));
            }
            accepted = note.basedOn();
        }
        return Optional.empty();
    }

    /** Whether every note that was accepted on top of a revision, or later, is listed. */
    public boolean isCompleteSince(Revision basedOn) {
        List<AcceptedNote> notes = configuration.recentNotes();
        return notes.size() < Configuration.MAX_RECENT_NOTES
                || notes.get(notes.size() - 1).basedOn().compareTo(basedOn) <= 0;
    }

    /** Listed notes that were accepted on top of a revision or later, newest first. */
    List<AcceptedNote> since(Revision basedOn) {
        return configuration.recentNotes().stream()
                .filter(note -> note.basedOn().compareTo(basedOn) >= 0)
                .toList();
    }
}
