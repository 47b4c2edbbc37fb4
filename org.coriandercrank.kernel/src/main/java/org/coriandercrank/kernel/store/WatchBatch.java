package org.coriandercrank.kernel.store;

import java.util.List;
import org.coriandercrank.kernel.id.Revision;

/**
 * Changes seen by a watch. Immutable.
 *
 * @param upTo every change under the prefix up to this revision has been delivered
 * @param changes latest state of each changed object, by ascending revision
 * @param reset whether the changes are a whole listing because the history was too short
 */
public record WatchBatch(Revision upTo, List<StoredObject> changes, boolean reset) {
    public WatchBatch {
        changes = List.copyOf(changes);
    }
}
