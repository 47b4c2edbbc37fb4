package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.ownership.GateLoad;
import org.coriandercrank.kernel.request.CallerAnswer;

/**
 * Answer of an owner gate. Immutable.
 *
 * @param load load of the gate when it answered
 */
public record ForwardAnswer(CallerAnswer answer, Generation tableGeneration, GateLoad load) implements Message {
    /** Answer of a gate that does not tell its load. */
    public ForwardAnswer(CallerAnswer answer, Generation tableGeneration) {
        this(answer, tableGeneration, GateLoad.NONE);
    }
}
