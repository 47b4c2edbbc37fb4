package org.coriandercrank.kernel.backend;

/**
 * Load that a backend server stated in a response. Immutable.
 *
 * @param running number of requests that the server executes, of all senders
 * @param waiting number of requests that wait at the server
 * @param slots number of requests that the server can execute at a time
 * @param workPercent duration of work on the host of the server at present, in percent of the usual; 100 if not stated
 * @param receivedAtNanos monotonic time of the receipt
 */
public record StatedLoad(int running, int waiting, int slots, int workPercent, long receivedAtNanos) {
    public static final int USUAL_WORK_PERCENT = 100;

    public StatedLoad {
        if (running < 0 || waiting < 0 || slots < 1 || workPercent < 1) {
            throw new IllegalArgumentException(
                    "invalid load: " + running + "," + waiting + "," + slots + "," + workPercent);
        }
    }

    /** Number of requests that the server executes or that wait there; the largest integer if it is larger. */
    public int pending() {
        return (int) Math.min(Integer.MAX_VALUE, (long) running + waiting);
    }
}
