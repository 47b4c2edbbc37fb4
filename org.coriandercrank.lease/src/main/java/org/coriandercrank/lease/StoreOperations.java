package org.coriandercrank.lease;

/** Numbers the store operations of a state machine, of which at most one is in flight. Not thread safe. */
final class StoreOperations {
    private long last;
    private boolean inFlight;

    boolean isInFlight() {
        return inFlight;
    }

    /** Starts an operation and returns its number. */
    long start() {
        inFlight = true;
        return ++last;
    }

    /** Ends the operation in flight; returns false if the answer is not for that operation. */
    boolean complete(long answered) {
        if (!inFlight || answered != last) {
            return false;
        }
        inFlight = false;
        return true;
    }
}
