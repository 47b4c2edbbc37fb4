package org.coriandercrank.kernel.store;

import org.coriandercrank.kernel.id.Revision;

/**
 * An object of the store at a revision. Immutable by convention: the array is not changed after construction.
 *
 * @param value the content; empty for a deleted object
 * @param deleted whether this is a deletion that a watch reported
 */
public record StoredObject(String name, Revision revision, byte[] value, boolean deleted) {
    public static StoredObject of(String name, Revision revision, byte[] value) {
        return new StoredObject(name, revision, value, false);
    }
}
