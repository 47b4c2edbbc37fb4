package org.coriandercrank.kernel.ownership;

import org.coriandercrank.kernel.id.Era;

/**
 * The latest era of the store that a daemon knows. Immutable.
 *
 * @param settled whether the daemon has known the era for so long that every member which could not write its record in
 *     it has lost its lease
 */
public record StoreEra(Era era, boolean settled) {
    /** A store that names no eras. */
    public static final StoreEra NONE = new StoreEra(Era.NONE, true);
}
