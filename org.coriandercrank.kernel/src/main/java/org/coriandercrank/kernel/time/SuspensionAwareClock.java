package org.coriandercrank.kernel.time;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A monotonic clock that also counts the time in which the host was suspended.
 *
 * <p>Thread safe. The steady clock stands still during a suspension and the time of day does not, but the time of day may
 * be set. Between two readings the larger of both elapsed times counts, so the clock may run ahead when the time of day is
 * set forward and never falls behind; it suits a lease of one's own, which may lapse too early but not too late.
 */
public final class SuspensionAwareClock implements MonotonicClock {
    /** Differences between the clocks below this are rounding of the time of day. */
    private static final long TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final LongSupplier steadyNanos;
    private final LongSupplier timeOfDayMs;
    private long lastSteadyNanos;
    private long lastTimeOfDayMs;
    private long suspendedNanos;

    public SuspensionAwareClock() {
        this(System::nanoTime, System::currentTimeMillis);
    }

    /** A clock on other sources, for tests. */
    public SuspensionAwareClock(LongSupplier steadyNanos, LongSupplier timeOfDayMs) {
        this.steadyNanos = steadyNanos;
        this.timeOfDayMs = timeOfDayMs;
        lastSteadyNanos = steadyNanos.getAsLong();
        lastTimeOfDayMs = timeOfDayMs.getAsLong();
    }

    @Override
    public synchronized long nowNanos() {
        long steady = steadyNanos.getAsLong();
        long timeOfDay = timeOfDayMs.getAsLong();
        long ahead = TimeUnit.MILLISECONDS.toNanos(timeOfDay - lastTimeOfDayMs) - (steady - lastSteadyNanos);
        if (ahead > TOLERANCE_NANOS) {
            suspendedNanos += ahead;
        }
        // A pair of readings is kept until the clocks differ, so that small differences cannot add up unseen.
        if (ahead > TOLERANCE_NANOS || ahead < -TOLERANCE_NANOS) {
            lastSteadyNanos = steady;
            lastTimeOfDayMs = timeOfDay;
        }
        return steady + suspendedNanos;
    }
}
