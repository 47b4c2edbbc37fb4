package org.coriandercrank.kernel.ownership;

import java.util.List;
import org.coriandercrank.kernel.request.OutcomeRecord;

/**
 * Outcome records and handover tokens that a new owner receives with a range. Immutable.
 *
 * @param completeForMs age in milliseconds up to which the records are complete; 0 after a takeover
 */
public record TransferredRecords(long completeForMs, List<OutcomeRecord> records, List<Handover> handovers) {
    public static final TransferredRecords NONE = new TransferredRecords(0, List.of());

    /** For a range that had no owner before, so that no record can be missing. */
    public static final TransferredRecords NEVER_OWNED = new TransferredRecords(Long.MAX_VALUE, List.of());

    public TransferredRecords {
        records = List.copyOf(records);
        handovers = List.copyOf(handovers);
    }

    /** Records of a range without handover tokens. */
    public TransferredRecords(long completeForMs, List<OutcomeRecord> records) {
        this(completeForMs, records, List.of());
    }

    public TransferredRecords withHandovers(List<Handover> newHandovers) {
        return new TransferredRecords(completeForMs, records, newHandovers);
    }
}
