package org.coriandercrank.scheduling.capacity;

/**
 * Limits the concurrent calls to a cold backend server, so that the calls that it has not read yet and the requests that
 * its rate allows in the second after it reads them stay below what it tolerates. Not thread safe.
 *
 * <p>Load pattern: a cold server pauses, reads all requests that were sent meanwhile at once when it goes on, and gets a
 * second's rate of others after them. With a limit by the slots, 13 calls and 12.6 others exceeded the 20.6 requests
 * that the server tolerated. Calls that were given up without an answer count until another one is answered, because the
 * server may still have to read them.
 */
public final class ColdCallLimit {
    /** Part of the tolerated calls; the rest is for the single calls that a server without answers still gets. */
    private static final double USABLE_SHARE = 0.75;

    private final int maxCalls;
    private int lostCalls;

    /** @param slack requests that the server tolerates in a second in addition to those of its rate */
    public ColdCallLimit(double slack) {
        maxCalls = (int) Math.max(1, USABLE_SHARE * slack);
    }

    /** Records that the server answered or refused a call, so that it has read the earlier ones. */
    public void onAnswered() {
        lostCalls = 0;
    }

    /** Records a call that ended without an answer. */
    public void onLost() {
        lostCalls = Math.min(maxCalls, lostCalls + 1);
    }

    /** Returns the number of calls that may run at a time; at least 1, because only an answer ends the limit. */
    public int limit() {
        return Math.max(1, maxCalls - lostCalls);
    }
}
