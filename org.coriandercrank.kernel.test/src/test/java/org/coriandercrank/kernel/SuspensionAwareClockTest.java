package org.coriandercrank.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.coriandercrank.kernel.time.SuspensionAwareClock;
import org.junit.jupiter.api.Test;

/**
 * Guards against a lease that is held too long after its host was suspended, because the steady clock stops during a
 * suspension.
 */
class SuspensionAwareClockTest {
    private static final long NANOS_PER_MS = 1_000_000;

    private final AtomicLong steadyNanos = new AtomicLong(500 * NANOS_PER_MS);
    private final AtomicLong timeOfDayMs = new AtomicLong(1_000_000);
    private final SuspensionAwareClock clock = new SuspensionAwareClock(steadyNanos::get, timeOfDayMs::get);
    private final long startNanos = clock.nowNanos();

    private void advance(long steadyDeltaMs, long timeOfDayDeltaMs) {
        steadyNanos.addAndGet(steadyDeltaMs * NANOS_PER_MS);
        timeOfDayMs.addAndGet(timeOfDayDeltaMs);
    }

    private long elapsedMs() {
        return (clock.nowNanos() - startNanos) / NANOS_PER_MS;
    }

    @Test
    void suspensionIsIncluded() {
        advance(100, 100);
        assertThat(elapsedMs()).isEqualTo(100);
        advance(10, 6_010);
        assertThat(elapsedMs()).isEqualTo(6_110);
    }

    @Test
    void settingTheTimeOfDayBackHasNoEffect() {
        advance(100, -2_000);
        assertThat(elapsedMs()).isEqualTo(100);
        advance(100, 100);
        assertThat(elapsedMs()).isEqualTo(200);
    }

    /**
     * Small differences between the clocks must accumulate over many readings, but rounding must not count as a
     * suspension.
     */
    @Test
    void slowDriftIsCountedOnce() {
        for (int i = 0; i < 1_000; i++) {
            advance(10, i % 10 == 0 ? 11 : 10);
            clock.nowNanos();
        }
        assertThat(elapsedMs()).isBetween(10_000L, 10_125L);
    }
}
