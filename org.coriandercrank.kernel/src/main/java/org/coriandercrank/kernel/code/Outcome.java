package org.coriandercrank.kernel.code;

/** Whether a request was executed, as far as the system knows. */
public enum Outcome {
    /** The backend server executed the request; its response is attached. */
    RUN("run"),
    /** The request was not executed, and this attempt will never be executed. */
    NOT_RUN("not-run"),
    /** The request may have been executed. */
    UNKNOWN("unknown");

    private final String headerValue;

    Outcome(String headerValue) {
        this.headerValue = headerValue;
    }

    /** Value of the response header {@code Crank-Outcome}. */
    public String headerValue() {
        return headerValue;
    }
}
