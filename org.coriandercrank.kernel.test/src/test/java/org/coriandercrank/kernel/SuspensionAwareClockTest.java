package org.coriandercrank.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.coriandercrank.kernel.time.SuspensionAwareClock;
import org.junit.jupiter.api.Test;

/** Guards against a lease that outlives a suspension of its host, in which the steady clock stands still. */
class SuspensionAwareClockTest {
    private static final long MS = 1_000_000;

    private final AtomicLong steadyNanos = new AtomicLong(500 * MS);
    private final AtomicLong timeOfDayMs = new AtomicLong(1_000_000);
    private final SuspensionAwareClock clock = new SuspensionAwareClock(steadyNanos::get, timeOfDayMs::get);
    private final long startNanos = clock.nowNanos();

    private void pass(long steadyMs, long dayMs) {
        steadyNanos.addAndGet(steadyMs * MS);
        timeOfDayMs.addAndGet(dayMs);
    }

    private long elapsedMs() {
        return (clock.nowNanos() - startNanos) / MS;
    }

    @Test
    void suspensionCounts() {
        pass(100, 100);
        assertThat(elapsedMs()).isEqualTo(100);
        pass(10, 6_010);
        assertThat(elapsedMs()).isEqualTo(6_110);
    }

    @Test
    void timeOfDaySetBackChangesNothing() {
        pass(100, -2_000);
        assertThat(elapsedMs()).isEqualTo(100);
        pass(100, 100);
        assertThat(elapsedMs()).isEqualTo(200);
    }

    /** Small differences of many readings must not be lost, nor rounding be counted as a suspension. */
    @Test
    void slowDriftIsCountedOnce() {
        for (int i = 0; i < 1_000; i++) {
            pass(10, i % 10 == 0 ? 11 : 10);
            clock.nowNanos();
        }
        assertThat(elapsedMs()).isBetween(10_000L, 10_125L);
    }
}
