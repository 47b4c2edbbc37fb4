package org.coriandercrank.kernel.message;

import java.util.List;
import org.coriandercrank.kernel.ownership.Handover;
import org.coriandercrank.kernel.request.OutcomeRecord;

/**
 * Answer to {@link ReleaseRequest}. Immutable.
 *
 * @param released whether the previous owner has stopped serving the range for good; if not, ask again
 * @param recordsCompleteForMs how far back the outcome records of the range are complete, or {@link #NOT_SERVED}
 * @param handovers what the server of the previous owner left
 */
public record ReleaseAnswer(
        boolean released, long recordsCompleteForMs, List<OutcomeRecord> records, List<Handover> handovers)
        implements Message {
    /** Stands for a previous owner that never served the range or has handed its records to another member. */
    public static final long NOT_SERVED = -1;

    public ReleaseAnswer {
        records = List.copyOf(records);
        handovers = List.copyOf(handovers);
    }

    /** Answer for a range whose server left nothing. */
    public ReleaseAnswer(boolean released, long recordsCompleteForMs, List<OutcomeRecord> records) {
        this(released, recordsCompleteForMs, records, List.of());
    }

    public static ReleaseAnswer notReleased() {
        return new ReleaseAnswer(false, 0, List.of());
    }
}
