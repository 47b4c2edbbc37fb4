package org.coriandercrank.kernel.time;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A monotonic clock that includes the time during which the host was suspended.
 *
 * <p>Thread safe. During a suspension the steady clock stops, but the time of day advances. The time of day may also be
 * set. The clock therefore advances by the larger of the two elapsed times: it may run ahead when the time of day is
 * set forward, but it never falls behind. This suits the holder of a lease, which may consider the lease expired too
 * early but never too late.
 */
public final class SuspensionAwareClock implements MonotonicClock {
    /** Smaller differences between the clocks are attributed to the rounding of the time of day. */
    private static final long ROUNDING_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final LongSupplier steadyNanos;
    private final LongSupplier timeOfDayMs;
    private long lastSteadyNanos;
    private long lastTimeOfDayMs;
    private long suspendedNanos;

    public SuspensionAwareClock() {
        this(System::nanoTime, System::currentTimeMillis);
    }

    /** A clock with other time sources, for tests. */
    public SuspensionAwareClock(LongSupplier steadyNanos, LongSupplier timeOfDayMs) {
        this.steadyNanos = steadyNanos;
        this.timeOfDayMs = timeOfDayMs;
        lastSteadyNanos = steadyNanos.getAsLong();
        lastTimeOfDayMs = timeOfDayMs.getAsLong();
    }

    @Override
    public synchronized long nowNanos() {
        long currentSteadyNanos = steadyNanos.getAsLong();
        long currentTimeOfDayMs = timeOfDayMs.getAsLong();
        long differenceNanos = TimeUnit.MILLISECONDS.toNanos(currentTimeOfDayMs - lastTimeOfDayMs)
                - (currentSteadyNanos - lastSteadyNanos);
        if (differenceNanos > ROUNDING_TOLERANCE_NANOS) {
            suspendedNanos += differenceNanos;
        }
        // The reference readings are replaced only when the clocks differ, so that many small differences add up to one
        // that exceeds the tolerance.
        if (differenceNanos > ROUNDING_TOLERANCE_NANOS || differenceNanos < -ROUNDING_TOLERANCE_NANOS) {
            lastSteadyNanos = currentSteadyNanos;
            lastTimeOfDayMs = currentTimeOfDayMs;
        }
        return currentSteadyNanos + suspendedNanos;
    }
}
