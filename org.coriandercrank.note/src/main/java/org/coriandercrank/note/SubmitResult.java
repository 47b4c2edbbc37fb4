package org.coriandercrank.note;

import java.util.List;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.AcceptedNote;
import org.coriandercrank.kernel.id.Revision;

/**
 * Result of the submission of a release note. Immutable.
 *
 * @param code {@code OK}, or the reason why the note was not accepted
 * @param revision revision at which the note was accepted, or the current revision of the configuration after a
 *     conflict
 * @param faults all errors of an invalid note; empty otherwise
 * @param newerNotes after a conflict, the notes accepted since the revision that the note is based on, as far as the
 *     configuration lists them
 */
public record SubmitResult(ResultCode code, Revision revision, List<NoteError> faults, List<AcceptedNote> newerNotes) {
    public SubmitResult {
        faults = List.copyOf(faults);
        newerNotes = List.copyOf(newerNotes);
    }

    static SubmitResult accepted(Revision revision) {
        return new SubmitResult(ResultCode.OK, revision, List.of(), List.of());
    }

    static SubmitResult invalid(ResultCode code, List<NoteError> errors) {
        return new SubmitResult(code, Revision.NONE, errors, List.of());
    }

    static SubmitResult rejected(ResultCode code, Revision current, List<AcceptedNote> newerNotes) {
        return new SubmitResult(code, current, List.of(), newerNotes);
    }
}
