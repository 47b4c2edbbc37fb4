package org.coriandercrank.kernel.placement;

/**
 * Load that the gate of a backend server reported with an answer, as a daemon knows it. Immutable.
 *
 * @param ageMs time in milliseconds since the report arrived
 * @param othersPending number of requests of other daemons that were queued or executing at the time of the report
 * @param concurrency number of requests that the server may execute at a time; 0 if there is no report
 * @param serviceMs smoothed time in milliseconds that the server takes for a request; 0 until one has been measured
 */
public record ReportedLoad(double ageMs, int othersPending, int concurrency, double serviceMs) {
    /** Stands for a server that has not reported its load. */
    public static final ReportedLoad NONE = new ReportedLoad(0, 0, 0, 0);

    /** Whether the server has reported its load. */
    public boolean isPresent() {
        return concurrency > 0;
    }
}
