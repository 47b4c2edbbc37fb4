package org.coriandercrank.scheduling.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.coriandercrank.kernel.backend.StatedLoad;
import org.coriandercrank.scheduling.capacity.MeasuredConcurrency;

/** Guards the bounds of the concurrency limit whatever a server refuses and states. */
class MeasuredConcurrencyTest {
    private static final int[] FIGURES = {0, 1, 3, 13, 50, 1_000_000, Integer.MAX_VALUE};

    private static Optional<StatedLoad> randomLoad(Random random, long nowNanos) {
        if (random.nextInt(4) == 0) {
            return Optional.empty();
        }
        return Optional.of(new StatedLoad(
                FIGURES[random.nextInt(FIGURES.length)],
                FIGURES[random.nextInt(FIGURES.length)],
                Math.max(1, FIGURES[random.nextInt(FIGURES.length)]),
                Math.max(1, FIGURES[random.nextInt(FIGURES.length)]),
                nowNanos - random.nextInt(2_000_000_000)));
    }

    @Property(tries = 300)
    void limitIsBetweenOneAndTheSlots(
            @ForAll @IntRange(min = 1, max = 40) int slots, @ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        Random random = new Random(seed);
        long nowNanos = random.nextLong();
        MeasuredConcurrency concurrency = new MeasuredConcurrency(slots, 1 + random.nextInt(2_000), nowNanos);
        for (int i = 0; i < 500; i++) {
            concurrency.onCallEnd(
                    1 + random.nextInt(slots + 2),
                    random.nextInt(slots + 1),
                    random.nextInt(3) > 0,
                    randomLoad(random, nowNanos),
                    nowNanos);
            nowNanos += random.nextInt((int) TimeUnit.MILLISECONDS.toNanos(random.nextInt(10) == 0 ? 2_000 : 20));
            assertThat(concurrency.limit(nowNanos)).isBetween(1, slots);
            assertThat(concurrency.workFactor(nowNanos)).isBetween(0.25, 10.0);
        }
    }
}
