package org.coriandercrank.kernel.message;

import java.util.List;
import org.coriandercrank.kernel.ownership.Handover;
import org.coriandercrank.kernel.request.OutcomeRecord;

/**
 * Answer to a {@link ReleaseRequest}. Immutable.
 *
 * @param released whether the previous owner has permanently stopped serving the range; if false, the requester repeats
 *     its request
 * @param recordsCompleteForMs age in milliseconds up to which the outcome records of the range are complete, or {@link
 *     #NOT_SERVED}
 * @param handovers handover tokens that the backend server of the previous owner left
 */
public record ReleaseAnswer(
        boolean released, long recordsCompleteForMs, List<OutcomeRecord> records, List<Handover> handovers)
        implements Message {
    /** The previous owner never served the range or has already sent its records to another member. */
    public static final long NOT_SERVED = -1;

    public ReleaseAnswer {
        records = List.copyOf(records);
        handovers = List.copyOf(handovers);
    }

    /** An answer without handover tokens. */
    public ReleaseAnswer(boolean released, long recordsCompleteForMs, List<OutcomeRecord> records) {
        this(released, recordsCompleteForMs, records, List.of());
    }

    /** Answer of a previous owner that still serves the range. */
    public static ReleaseAnswer notReleased() {
        return new ReleaseAnswer(false, 0, List.of());
    }
}
