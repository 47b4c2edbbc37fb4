package org.coriandercrank.load;

/**
 * A violated guarantee found in a history of calls and executions. Immutable.
 *
 * @param detail the call or execution that shows the violation
 */
public record Violation(Kind kind, String detail) {
    /** Kinds of violations. */
    public enum Kind {
        /** Two servers executed requests for the same key at overlapping times. */
        TWO_OWNERS,
        /** A request for a key was executed with an older fencing token after one with a newer token. */
        FENCE_WENT_BACK,
        /** An operation that is not idempotent was executed more than once. */
        EXECUTED_TWICE,
        /** A response stated not-run, but the request was executed. */
        NOT_RUN_BUT_EXECUTED,
        /** A response stated run, but no attempt of the operation was executed. */
        RUN_BUT_NOT_EXECUTED,
        /** A caller received the response to another request. */
        FOREIGN_ANSWER
    }
}
