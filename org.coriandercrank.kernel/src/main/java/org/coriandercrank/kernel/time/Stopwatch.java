package org.coriandercrank.kernel.time;

import java.util.Objects;

/**
 * Measures the time since a moment. Immutable and as thread safe as its clock.
 *
 * @param startNanos the moment, on the clock
 */
public record Stopwatch(MonotonicClock clock, long startNanos) {
    public Stopwatch {
        Objects.requireNonNull(clock, "clock");
    }

    public static Stopwatch start(MonotonicClock clock) {
        return new Stopwatch(clock, clock.nowNanos());
    }

    public long elapsedNanos() {
        return clock.nowNanos() - startNanos;
    }
}
