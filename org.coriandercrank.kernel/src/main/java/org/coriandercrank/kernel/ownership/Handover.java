package org.coriandercrank.kernel.ownership;

import org.coriandercrank.kernel.table.KeyRange;

/**
 * What a backend server leaves with a range that it released, so that the next server need not start cold. Immutable.
 *
 * @param token opaque; belongs to the servers
 */
public record Handover(KeyRange range, String token) {
    public Handover {
        if (token.isEmpty()) {
            throw new IllegalArgumentException("token must not be empty");
        }
    }
}
