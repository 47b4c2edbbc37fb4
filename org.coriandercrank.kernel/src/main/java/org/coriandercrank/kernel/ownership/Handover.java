package org.coriandercrank.kernel.ownership;

import org.coriandercrank.kernel.table.KeyRange;

/**
 * Data that a backend server left when it released a range, so that the next server of the range can start warm.
 * Immutable.
 *
 * @param token opaque to the daemons; passed from one backend server to the next
 */
public record Handover(KeyRange range, String token) {
    public Handover {
        if (token.isEmpty()) {
            throw new IllegalArgumentException("token must not be empty");
        }
    }
}
