package org.coriandercrank.note;

import org.coriandercrank.kernel.id.NoteId;
import org.coriandercrank.kernel.id.Revision;

/**
 * Content of the stored object {@code notes/<id>}. Immutable.
 *
 * <p>The list of recent notes in the configuration is authoritative for whether a note was accepted; the state in this
 * record is updated afterwards and may be outdated.
 *
 * @param fate state of the submission
 * @param basedOn revision of the configuration that the note is based on
 * @param accepted revision at which the note was accepted, or {@link Revision#NONE}
 * @param text the note as submitted
 */
public record NoteRecord(NoteId id, State fate, Revision basedOn, Revision accepted, String text) {
    /** State of the submission of a note. */
    public enum State {
        /** The write of the configuration was started; the configuration shows whether it took effect. */
        SUBMITTED,
        ACCEPTED,
        /** Definitely not accepted; the id may be used for another note. */
        REFUSED
    }

    /** Returns a copy of this record that is accepted at a revision. */
    public NoteRecord acceptedAt(Revision revision) {
        return withState(State.ACCEPTED, revision);
    }

    NoteRecord withState(State newFate, Revision newAccepted) {
        return new NoteRecord(id, newFate, basedOn, newAccepted, text);
    }
}
