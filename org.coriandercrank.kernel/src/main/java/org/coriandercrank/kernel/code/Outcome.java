package org.coriandercrank.kernel.code;

/** What the system knows about the execution of a request. */
public enum Outcome {
    /** The backend server executed the request and its answer is attached. */
    RUN("run"),
    /** The request was not executed and no later execution of this attempt can happen. */
    NOT_RUN("not-run"),
    /** The request may have been executed. */
    UNKNOWN("unknown");

    private final String headerValue;

    Outcome(String headerValue) {
        this.headerValue = headerValue;
    }

    /** Value of the header {@code Crank-Outcome}. */
    public String headerValue() {
        return headerValue;
    }
}
