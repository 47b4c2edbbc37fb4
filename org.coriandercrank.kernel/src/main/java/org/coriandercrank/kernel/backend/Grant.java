package org.coriandercrank.kernel.backend;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * The complete set of ranges that a backend server may serve; replaces the set of the previous grant. Immutable.
 *
 * @param sequence increases with each grant to a server; the server rejects a grant whose sequence is lower than the
 *     latest
 * @param validityMs time in milliseconds after which the server must reject requests unless it receives another grant;
 *     starts when the validity was determined if the server can determine that moment, otherwise when the grant
 *     arrives
 */
public record Grant(long sequence, List<GrantedRange> ranges, long validityMs) {
    /**
     * A range with its fencing token. Immutable.
     *
     * @param handover token that the previous server of the range left; empty if there is none
     */
    public record GrantedRange(
            KeyRange range,
            Generation fence,
            @JsonInclude(JsonInclude.Include.NON_EMPTY) String handover) {
        /** A range without a handover token. */
        public GrantedRange(KeyRange range, Generation fence) {
            this(range, fence, "");
        }
    }

    public Grant {
        ranges = List.copyOf(ranges);
    }

    /** Returns the grant with the rest of its validity after some time, rounded down; not negative. */
    public Grant aged(long elapsedNanos) {
        long restNanos = TimeUnit.MILLISECONDS.toNanos(validityMs) - elapsedNanos;
        return new Grant(sequence, ranges, Math.max(0, TimeUnit.NANOSECONDS.toMillis(restNanos)));
    }
}
