package org.coriandercrank.kernel.ownership;

import java.util.List;
import org.coriandercrank.kernel.request.OutcomeRecord;

/**
 * Outcome records that come with a range. Immutable.
 *
 * @param completeForMs how far back the records are complete; 0 after a takeover
 */
public record InheritedRecords(long completeForMs, List<OutcomeRecord> records) {
    public static final InheritedRecords NONE = new InheritedRecords(0, List.of());

    /** Records of a range that nobody owned before: nothing can be missing. */
    public static final InheritedRecords NEVER_OWNED = new InheritedRecords(Long.MAX_VALUE, List.of());

    public InheritedRecords {
        records = List.copyOf(records);
    }
}
