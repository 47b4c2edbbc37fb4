package org.coriandercrank.note;

import org.coriandercrank.kernel.id.NoteId;
import org.coriandercrank.kernel.id.Revision;

/**
 * Content of the object {@code notes/<id>}. Immutable.
 *
 * <p>The list of recent notes in the configuration decides whether a note was accepted; the fate here follows it and
 * may lag.
 *
 * @param accepted revision at which the note was accepted, or {@link Revision#NONE}
 * @param text the note as submitted
 */
public record NoteRecord(NoteId id, State fate, Revision basedOn, Revision accepted, String text) {
    /** What became of a note. */
    public enum State {
        /** Its write was started; the configuration tells whether it was accepted. */
        SUBMITTED,
        ACCEPTED,
        /** Certainly not accepted; the id may be used again. */
        REFUSED
    }

    /** This record as that of a note accepted at a revision. */
    public NoteRecord acceptedAt(Revision revision) {
        return withState(State.ACCEPTED, revision);
    }

    NoteRecord withState(State newFate, Revision newAccepted) {
        return new NoteRecord(id, newFate, basedOn, newAccepted, text);
    }
}
