package org.coriandercrank.control.internal;

import java.util.concurrent.TimeUnit;

/**
 * A listing or watch of the store that has no answer yet.
 *
 * <p>An outstanding call proves nothing: its answer may be lost on a connection that stays open. A call is overdue when
 * the store should have answered it. Control thread only.
 */
final class StoreCall {
    private final boolean listing;
    private final long startedNanos;
    private final long waitMs;
    private final long timeoutAtNanos;
    private long dueNanos;
    private boolean suspect;
    private Runnable cancellation = () -> {};

    /**
     * Creates a call that starts now.
     *
     * @param waitMs how long the store waits for a change; 0 for a listing
     * @param dueMs time after which the call is overdue
     * @param timeoutMs time after which the call is given up
     */
    StoreCall(boolean listing, long startedNanos, long waitMs, long dueMs, long timeoutMs) {
        this.listing = listing;
        this.startedNanos = startedNanos;
        this.waitMs = waitMs;
        this.dueNanos = startedNanos + TimeUnit.MILLISECONDS.toNanos(dueMs);
        this.timeoutAtNanos = startedNanos + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    }

    boolean listing() {
        return listing;
    }

    long startedNanos() {
        return startedNanos;
    }

    long waitMs() {
        return waitMs;
    }

    long ageNanos(long nowNanos) {
        return nowNanos - startedNanos;
    }

    boolean isOverdue(long nowNanos) {
        return nowNanos - dueNanos >= 0;
    }

    long remainingNanos(long nowNanos) {
        return timeoutAtNanos - nowNanos;
    }

    /** Notes that the store has something to answer, so that silence beyond a time is a sign of a lost answer. */
    void expectAnswerBy(long newDueNanos) {
        if (newDueNanos - dueNanos < 0) {
            dueNanos = newDueNanos;
        }
    }

    /** Notes that the answer may have been lost, so that the call must be replaced. */
    void markSuspect() {
        suspect = true;
    }

    boolean isSuspect() {
        return suspect;
    }

    /**
     * Returns until when the answer proves that nothing has changed. An empty answer is sent after the whole wait, unless
     * the store ends the wait early; any other answer proves only what held at the start.
     */
    long provenNanos(boolean empty, long nowNanos) {
        long waitEndNanos = startedNanos + TimeUnit.MILLISECONDS.toNanos(waitMs);
        return empty && nowNanos - waitEndNanos >= 0 ? waitEndNanos : startedNanos;
    }

    void setCancellation(Runnable newCancellation) {
        cancellation = newCancellation;
    }

    void cancel() {
        cancellation.run();
    }
}
