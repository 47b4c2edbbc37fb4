package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.Revision;

/**
 * Requests the control objects of one kind that are newer than a revision; the answer is an {@link ObjectData}.
 * Immutable.
 */
public record FetchObject(Kind kind, Revision newerThan) implements Message {
    /** Kinds of control objects. */
    public enum Kind {
        CONFIGURATION,
        MEMBERS,
        ASSIGNMENTS,
        /** Known only to daemons that read evacuations. */
        EVACUATIONS
    }
}
