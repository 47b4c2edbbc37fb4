package org.coriandercrank.kernel.placement;

import java.util.List;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * Load of one owned range. Immutable.
 *
 * @param serving whether the owner currently serves the range under this fencing token
 * @param requestsPerSecond smoothed request rate
 * @param hotHashes the hashes with the highest request rates, in descending order
 */
public record RangeLoad(
        KeyRange range, Generation fence, boolean serving, double requestsPerSecond, List<HotHash> hotHashes) {
    /** Request rate of one hash. Immutable. */
    public record HotHash(KeyHash hash, double requestsPerSecond) {}

    public RangeLoad {
        hotHashes = List.copyOf(hotHashes);
    }
}
