package org.coriandercrank.kernel.ownership;

/**
 * Load of an owner gate, which the gate reports with each answer. Immutable.
 *
 * @param pending number of requests that are queued or executing
 * @param concurrency number of requests that its backend server may execute at present; 0 if there is no server
 * @param serviceMs smoothed time in milliseconds that the server takes for a request; 0 until one has been measured
 */
public record GateLoad(int pending, int concurrency, double serviceMs) {
    /** Load of a gate without a backend server. */
    public static final GateLoad NONE = new GateLoad(0, 0, 0);
}
