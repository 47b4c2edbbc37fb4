package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.Revision;

/** Asks for the control objects of a kind that are newer than a revision. Immutable. */
public record FetchObject(Kind kind, Revision newerThan) implements Message {
    /** Kinds of control objects. */
    public enum Kind {
        CONFIGURATION,
        MEMBERS,
        ASSIGNMENTS
    }
}
