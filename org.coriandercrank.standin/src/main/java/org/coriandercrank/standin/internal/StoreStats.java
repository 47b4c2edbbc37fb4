package org.coriandercrank.standin.internal;

import java.util.Map;

/**
 * Response to {@code GET /admin/stats} of the store. Immutable.
 *
 * @param era era of the store, which rises by one with each return from an older copy
 * @param revision current value of the revision counter
 * @param objects number of stored objects
 * @param calls number of requests since the start by operation: get, list, put, delete, watch
 * @param conflicts number of writes since the start that had no effect because the object did not have the expected
 *     revision
 * @param refused number of requests since the start that had no effect because of an injected fault
 * @param waitingWatches number of watch requests that wait for a change
 */
public record StoreStats(
        long era,
        long revision,
        int objects,
        Map<String, Long> calls,
        long conflicts,
        long refused,
        int waitingWatches) {
    public StoreStats {
        calls = Map.copyOf(calls);
    }
}
