package org.coriandercrank.kernel.backend;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * The complete set of ranges that a backend server may serve, replacing the set before it. Immutable.
 *
 * @param sequence grows with each grant to a server; the server rejects an older one
 * @param validityMs time after which the server must reject work unless granted again; counts from the sending of the
 *     grant where the server can tell it, else from its arrival
 */
public record Grant(long sequence, List<GrantedRange> ranges, long validityMs) {
    /**
     * A range and its fence. Immutable.
     *
     * @param handover token that the last server of the range left; empty if there is none
     */
    public record GrantedRange(
            KeyRange range,
            Generation fence,
            @JsonInclude(JsonInclude.Include.NON_EMPTY) String handover) {
        /** A range whose last server left nothing. */
        public GrantedRange(KeyRange range, Generation fence) {
            this(range, fence, "");
        }
    }

    public Grant {
        ranges = List.copyOf(ranges);
    }
}
