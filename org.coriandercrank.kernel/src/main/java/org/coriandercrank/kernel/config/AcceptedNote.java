package org.coriandercrank.kernel.config;

import java.util.List;
import org.coriandercrank.kernel.id.NoteId;
import org.coriandercrank.kernel.id.Revision;

/**
 * A release note that was applied to the configuration. Immutable.
 *
 * @param basedOn revision of the configuration that the note replaced
 * @param touched entries that the note added, changed or removed, such as {@code services/counter-desk}
 */
public record AcceptedNote(NoteId id, Revision basedOn, List<String> touched) {
    public AcceptedNote {
        touched = List.copyOf(touched);
    }
}
