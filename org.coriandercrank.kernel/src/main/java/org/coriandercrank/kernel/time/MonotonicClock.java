package org.coriandercrank.kernel.time;

/** A clock that never goes backwards. Readings of different processes are not comparable. */
@FunctionalInterface
public interface MonotonicClock {
    MonotonicClock SYSTEM = System::nanoTime;

    long nowNanos();

    default long nowMs() {
        return nowNanos() / 1_000_000;
    }
}
