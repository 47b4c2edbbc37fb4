package org.coriandercrank.lease.test;

import java.util.Random;

/** A process of the simulation: a drifting clock and one pause at a time. Not thread safe. */
final class SimulatedProcess {
    private static final double MAX_DRIFT = 0.01;

    private final long offsetNanos;
    private final double rate;
    private long pausedUntilNanos;

    SimulatedProcess(Random random) {
        offsetNanos = random.nextLong() >> 8;
        rate = 1 + MAX_DRIFT * (2 * random.nextDouble() - 1);
    }

    /** The clock of the process at a true time. */
    long localNanos(long trueNanos) {
        return offsetNanos + (long) (trueNanos * rate);
    }

    void pauseUntil(long trueNanos) {
        pausedUntilNanos = Math.max(pausedUntilNanos, trueNanos);
    }

    /** Earliest true time at which the process can run. */
    long runnableAt(long trueNanos) {
        return Math.max(trueNanos, pausedUntilNanos);
    }
}
