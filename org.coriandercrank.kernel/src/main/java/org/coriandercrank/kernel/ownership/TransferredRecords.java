package org.coriandercrank.kernel.ownership;

import java.util.List;
import org.coriandercrank.kernel.request.OutcomeRecord;

/**
 * Outcome records that come with a range, and what its last server left. Immutable.
 *
 * @param completeForMs how far back the records are complete; 0 after a takeover
 */
public record TransferredRecords(long completeForMs, List<OutcomeRecord> records, List<Handover> handovers) {
    public static final TransferredRecords NONE = new TransferredRecords(0, List.of());

    /** Records of a range that nobody owned before: nothing can be missing. */
    public static final TransferredRecords NEVER_OWNED = new TransferredRecords(Long.MAX_VALUE, List.of());

    public TransferredRecords {
        records = List.copyOf(records);
        handovers = List.copyOf(handovers);
    }

    /** Records of a range whose last server left nothing. */
    public TransferredRecords(long completeForMs, List<OutcomeRecord> records) {
        this(completeForMs, records, List.of());
    }

    public TransferredRecords withHandovers(List<Handover> newHandovers) {
        return new TransferredRecords(completeForMs, records, newHandovers);
    }
}
