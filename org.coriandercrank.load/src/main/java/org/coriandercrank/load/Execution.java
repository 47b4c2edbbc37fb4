package org.coriandercrank.load;

/**
 * One execution from the ledger of a backend server. Immutable. Times are monotonic nanoseconds of the machine, equal
 * for all processes on it.
 *
 * @param requestId id of the attempt; a further attempt of the router has a suffix
 * @param endNanos instant of the effect
 */
public record Execution(
        String server, String requestId, String key, String method, long fence, long startNanos, long endNanos) {
    private static final String ATTEMPT_SEPARATOR = "..";

    /** The caller's request id. */
    public String callerRequestId() {
        int separator = requestId.lastIndexOf(ATTEMPT_SEPARATOR);
        return separator < 0 ? requestId : requestId.substring(0, separator);
    }
}
