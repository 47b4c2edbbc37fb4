package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.ownership.GateLoad;
import org.coriandercrank.kernel.request.CallerAnswer;

/**
 * Answer of an owner gate to a {@link ForwardRequest}. Immutable.
 *
 * @param tableGeneration generation of the assignment table that the answering daemon uses
 * @param load load of the gate when it answered
 */
public record ForwardAnswer(CallerAnswer answer, Generation tableGeneration, GateLoad load) implements Message {
    /** An answer without the load of the gate. */
    public ForwardAnswer(CallerAnswer answer, Generation tableGeneration) {
        this(answer, tableGeneration, GateLoad.NONE);
    }
}
