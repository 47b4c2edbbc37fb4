package org.coriandercrank.kernel.message;

import java.util.List;
import org.coriandercrank.kernel.request.OutcomeRecord;

/**
 * Answer to {@link ReleaseRequest}. Immutable.
 *
 * @param released whether the previous owner has stopped serving the range for good; if not, ask again
 * @param recordsCompleteForMs how far back the outcome records of the range are complete, or {@link #NOT_SERVED}
 */
public record ReleaseAnswer(boolean released, long recordsCompleteForMs, List<OutcomeRecord> records)
        implements Message {
    /** Stands for a previous owner that never served the range or has handed its records to another member. */
    public static final long NOT_SERVED = -1;

    public ReleaseAnswer {
        records = List.copyOf(records);
    }

    public static ReleaseAnswer notYet() {
        return new ReleaseAnswer(false, 0, List.of());
    }
}
