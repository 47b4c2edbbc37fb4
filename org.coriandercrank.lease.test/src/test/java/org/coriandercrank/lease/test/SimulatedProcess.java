package org.coriandercrank.lease.test;

import java.util.Random;

/** A simulated process with a drifting clock, which can be paused. Not thread safe. */
final class SimulatedProcess {
    private static final double MAX_DRIFT = 0.01;

    private final long offsetNanos;
    private final double rate;
    private long pausedUntilNanos;

    SimulatedProcess(Random random) {
        offsetNanos = random.nextLong() >> 8;
        rate = 1 + MAX_DRIFT * (2 * random.nextDouble() - 1);
    }

    /** Returns the time that the clock of the process shows at a true time. */
    long localNanos(long trueNanos) {
        return offsetNanos + (long) (trueNanos * rate);
    }

    void pauseUntil(long trueNanos) {
        pausedUntilNanos = Math.max(pausedUntilNanos, trueNanos);
    }

    /** Returns the earliest true time, not before the given one, at which the process runs. */
    long earliestRunNanos(long trueNanos) {
        return Math.max(trueNanos, pausedUntilNanos);
    }
}
