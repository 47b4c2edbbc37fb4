package org.coriandercrank.standin.internal;

import java.util.Map;

/**
 * Answer to {@code GET /admin/stats} of the store. Immutable.
 *
 * @param calls calls since the start by kind: get, list, put, delete, watch
 * @param refused calls that had no effect because of a fault
 */
public record StoreStats(
        long revision, int objects, Map<String, Long> calls, long conflicts, long refused, int waitingWatches) {
    public StoreStats {
        calls = Map.copyOf(calls);
    }
}
