package org.coriandercrank.kernel.message;

import java.util.List;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.store.StoredObject;

/**
 * Control objects of one kind; answer to a {@link FetchObject}. Immutable.
 *
 * @param upTo the sender knows every change of the kind up to this revision
 * @param reset whether the objects are a complete listing; objects of the kind that are not listed no longer exist
 */
public record ObjectData(FetchObject.Kind kind, Revision upTo, boolean reset, List<StoredObject> objects)
        implements Message {
    public ObjectData {
        objects = List.copyOf(objects);
    }
}
