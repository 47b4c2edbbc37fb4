package org.coriandercrank.kernel.config;

import java.util.List;
import org.coriandercrank.kernel.id.NoteId;
import org.coriandercrank.kernel.id.Revision;

/**
 * A release note that made a configuration. Immutable.
 *
 * @param basedOn revision of the configuration that it replaced
 * @param touched what it added, changed or withdrew, such as {@code services/counter-desk}
 */
public record AcceptedNote(NoteId id, Revision basedOn, List<String> touched) {
    public AcceptedNote {
        touched = List.copyOf(touched);
    }
}
