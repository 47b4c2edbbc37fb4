package org.coriandercrank.load;

/**
 * One execution from the ledger of a backend server. Immutable. Times are in nanoseconds of the machine's monotonic
 * clock, which all processes on the machine share.
 *
 * @param server name of the backend server
 * @param requestId id of the attempt; the router adds a suffix to the caller's id when it retries a request
 * @param fence fencing token of the request
 * @param endNanos time at which the request took effect
 */
public record Execution(
        String server, String requestId, String key, String method, long fence, long startNanos, long endNanos) {
    private static final String ATTEMPT_SEPARATOR = "..";

    /** Returns the request id of the caller, without the suffix of a retry by the router. */
    public String callerRequestId() {
        int separator = requestId.lastIndexOf(ATTEMPT_SEPARATOR);
        return separator < 0 ? requestId : requestId.substring(0, separator);
    }
}
