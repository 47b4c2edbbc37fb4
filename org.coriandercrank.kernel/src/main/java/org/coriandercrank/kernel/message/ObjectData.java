package org.coriandercrank.kernel.message;

import java.util.List;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.store.StoredObject;

/**
 * Control objects of a kind. Immutable.
 *
 * @param upTo the sender knows every change of the kind up to this revision
 * @param reset whether the objects are the whole listing, so that others of the kind no longer exist
 */
public record ObjectData(FetchObject.Kind kind, Revision upTo, boolean reset, List<StoredObject> objects)
        implements Message {
    public ObjectData {
        objects = List.copyOf(objects);
    }
}
