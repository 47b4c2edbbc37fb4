package org.coriandercrank.kernel.store;

import java.util.List;
import org.coriandercrank.kernel.id.Revision;

/**
 * Changes that a watch reported. Immutable.
 *
 * @param upTo revision up to which every change under the prefix has been reported
 * @param changes latest state of each changed object, in ascending order of revisions
 * @param reset whether the changes are a complete listing, because the history of the store does not go back far enough
 */
public record WatchBatch(Revision upTo, List<StoredObject> changes, boolean reset) {
    public WatchBatch {
        changes = List.copyOf(changes);
    }
}
