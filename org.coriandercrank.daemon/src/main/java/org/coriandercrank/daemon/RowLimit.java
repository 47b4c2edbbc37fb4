package org.coriandercrank.daemon;

import java.util.List;
import java.util.function.ToIntFunction;
import org.coriandercrank.kernel.backend.Grant.GrantedRange;

/**
 * The room for granted rows in the response to a heartbeat. Immutable and thread safe.
 *
 * @param maxSize maximum sum of the sizes of the rows
 * @param sizeOf size of a row without its handover token, in the unit of {@code maxSize}
 */
public record RowLimit(int maxSize, ToIntFunction<GrantedRange> sizeOf) {
    /** Returns a limit of the number of rows. */
    public static RowLimit ofCount(int maxRows) {
        return new RowLimit(maxRows, row -> 1);
    }

    /** Whether there is room for all rows. */
    public boolean allows(List<GrantedRange> rows) {
        return rows.stream().mapToLong(sizeOf::applyAsInt).sum() <= maxSize;
    }
}
