package org.coriandercrank.kernel.ownership;

import java.util.List;
import org.coriandercrank.kernel.request.OutcomeRecord;

/**
 * Outcome records that come with a range, and what its last server left. Immutable.
 *
 * @param completeForMs how far back the records are complete; 0 after a takeover
 */
public record InheritedRecords(long completeForMs, List<OutcomeRecord> records, List<Handover> handovers) {
    public static final InheritedRecords NONE = new InheritedRecords(0, List.of());

    /** Records of a range that nobody owned before: nothing can be missing. */
    public static final InheritedRecords NEVER_OWNED = new InheritedRecords(Long.MAX_VALUE, List.of());

    public InheritedRecords {
        records = List.copyOf(records);
        handovers = List.copyOf(handovers);
    }

    /** Records of a range whose last server left nothing. */
    public InheritedRecords(long completeForMs, List<OutcomeRecord> records) {
        this(completeForMs, records, List.of());
    }

    public InheritedRecords withHandovers(List<Handover> newHandovers) {
        return new InheritedRecords(completeForMs, records, newHandovers);
    }
}
