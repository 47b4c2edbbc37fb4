package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests a backend server that states how many requests per second it takes. */
class StatedLimitTest {
    private static final int SLOTS = 18;
    private static final long SERVICE_MS = 160;
    private static final long DAY_MS = 20_000;
    private static final long LIMIT_STATED_AT_MS = 3_000;

    /** Time after the first statement of a limit from which the users' rule counts. */
    private static final long CONTACT_MS = 3_000;

    private static final long WINDOW_MS = 4_000;
    private static final double TOLERATED_FACTOR = 1.5;
    private static final int TOLERATED_EXCESS = 5;

    private final GateFixture gate = new GateFixture().startServing(SLOTS);
    private final List<Long> sentAtMs = new ArrayList<>();
    private final List<CompletableFuture<CallerAnswer>> answers = new ArrayList<>();
    private long nowMs;

    private void play(double arrivalsPerMs, double limitPerSecond, long untilMs, long seed) {
        Random random = new Random(seed);
        gate.backend.onCall = call -> {
            sentAtMs.add(nowMs);
            gate.timers.once(SERVICE_MS, gate.timers, call::succeed);
        };
        for (; nowMs < untilMs; nowMs++) {
            if (nowMs == LIMIT_STATED_AT_MS) {
                gate.backend.maxRequestsPerSecond = OptionalDouble.of(limitPerSecond);
            }
            if (random.nextDouble() < arrivalsPerMs) {
                answers.add(gate.submit(gate.newPost("k" + random.nextInt(1_000))));
            }
            gate.timers.advanceMs(1);
        }
    }

    private long sentIn(long fromMs, long toMs) {
        return sentAtMs.stream().filter(ms -> ms >= fromMs && ms < toMs).count();
    }

    /** The limit was not read, and a server that stated 9.9 requests per second got 30. */
    @ParameterizedTest
    @CsvSource({"9.9, 40, 1", "17.4, 47, 2", "0.4, 40, 3", "60, 90, 4"})
    void serverGetsNoMoreRequestsThanItsStatedLimitAllows(double limitPerSecond, double arrivalsPerSecond, long seed) {
        play(arrivalsPerSecond / 1_000, limitPerSecond, DAY_MS, seed);
        double allowed = TOLERATED_FACTOR * limitPerSecond * WINDOW_MS / 1_000 + TOLERATED_EXCESS;
        long firstWindowMs = LIMIT_STATED_AT_MS + CONTACT_MS;
        for (long fromMs = firstWindowMs; fromMs + WINDOW_MS <= DAY_MS; fromMs += 50) {
            assertThat((double) sentIn(fromMs, fromMs + WINDOW_MS))
                    .as("requests in the window from %d ms", fromMs)
                    .isLessThanOrEqualTo(allowed);
        }
        double expectedCalls = limitPerSecond * (DAY_MS - firstWindowMs) / 1_000;
        assertThat((double) sentIn(firstWindowMs, DAY_MS))
                .as("use of the limit")
                .isGreaterThanOrEqualTo(0.9 * expectedCalls - 1);
    }

    /** A request that the limit leaves no time for must not wait until its deadline. */
    @Test
    void requestsBeyondTheLimitAreRefusedAtOnce() {
        play(0.04, 2, LIMIT_STATED_AT_MS + CONTACT_MS, 5);
        CompletableFuture<CallerAnswer> last = null;
        for (int i = 0; i < 10; i++) {
            last = gate.submit(gate.newPost("late" + i));
        }
        assertThat(last).isDone();
        assertThat(last.join().code()).isEqualTo(ResultCode.OVERLOADED);
        assertThat(last.join().outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(last.join().retryAfterMs()).isPresent();
    }

    @Test
    void limitEndsWhenTheServerNoLongerStatesIt() {
        play(0.04, 2, LIMIT_STATED_AT_MS + CONTACT_MS, 6);
        gate.backend.maxRequestsPerSecond = OptionalDouble.empty();
        long withdrawnAtMs = nowMs;
        Random random = new Random(6);
        for (; nowMs < withdrawnAtMs + 5_000; nowMs++) {
            if (random.nextDouble() < 0.04) {
                answers.add(gate.submit(gate.newPost("k" + random.nextInt(1_000))));
            }
            gate.timers.advanceMs(1);
        }
        assertThat(sentIn(withdrawnAtMs + 1_000, nowMs)).isGreaterThan(100);
    }
}
