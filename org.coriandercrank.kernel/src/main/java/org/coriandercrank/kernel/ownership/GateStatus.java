package org.coriandercrank.kernel.ownership;

import java.util.List;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.table.KeyRange;

/** State of an owner gate, for operators. Immutable. */
public record GateStatus(
        boolean backendAttached, boolean draining, int queued, int inFlight, List<ServingRange> serving) {
    /** A range that the gate serves, with its fencing token. Immutable. */
    public record ServingRange(KeyRange range, Generation fence) {}

    public GateStatus {
        serving = List.copyOf(serving);
    }
}
