package org.coriandercrank.load;

/** A broken promise found in a history. Immutable. */
public record Violation(Kind kind, String detail) {
    /** The promises that are checked. */
    public enum Kind {
        /** Two servers executed the same key at overlapping times. */
        TWO_OWNERS,
        /** A key was executed under an older fence after a newer one. */
        FENCE_WENT_BACK,
        /** An operation that must not be repeated was executed more than once. */
        EXECUTED_TWICE,
        /** An answer said not-run, and the request was executed. */
        NOT_RUN_BUT_EXECUTED,
        /** An answer said run, and the request was not executed. */
        RUN_BUT_NOT_EXECUTED,
        /** A caller got the answer of another request. */
        FOREIGN_ANSWER
    }
}
