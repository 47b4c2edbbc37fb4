package org.coriandercrank.experiment.internal;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Blocking waits for experiments. Stateless. */
final class Await {
    private static final long TIMEOUT_MS = 120_000;
    private static final long POLL_INTERVAL_MS = 20;

    private Await() {}

    /**
     * Polls a condition until it holds.
     *
     * @param what name of the condition for the error message
     * @throws IllegalStateException if the condition does not hold within two minutes
     */
    static void until(String what, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new IllegalStateException("condition not met within " + TIMEOUT_MS + " ms: " + what);
            }
            sleep(POLL_INTERVAL_MS);
        }
    }

    /** Sleeps; fails if the thread is interrupted. */
    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
