package org.coriandercrank.kernel.ownership;

/**
 * How busy an owner gate is, as it tells with each answer. Immutable.
 *
 * @param pending requests that wait or run
 * @param concurrency requests that its backend server may run at present; 0 if there is no server
 * @param serviceMs smoothed time of a request at the server; 0 until one has been measured
 */
public record GateLoad(int pending, int concurrency, double serviceMs) {
    /** Load of a gate without a backend server. */
    public static final GateLoad NONE = new GateLoad(0, 0, 0);
}
