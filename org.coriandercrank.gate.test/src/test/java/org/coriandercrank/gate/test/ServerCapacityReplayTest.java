package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.kernel.backend.StatedLoad;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.CapacityControl;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays loads at which a gate has to find out what its backend server can take. */
class ServerCapacityReplayTest {
    private static final long SERVICE_MS = 80;
    private static final long SECOND_MS = 1_000;
    private static final double COLD_RATE = 8.4;

    /** Requests that a cold server may get in any second under the users' rule: 1.5 times the rate, and 8. */
    private static final double COLD_LIMIT = 20.6;

    private final GateFixture gate = new GateFixture(GateOptions.DEFAULTS.withSlowStartMs(0));
    private final Random random = new Random(11);
    private final List<Long> sentAtMs = new ArrayList<>();
    private final Deque<Integer> runningAtServer = new ArrayDeque<>();
    private long nowMs;
    private int executing;
    private int accepted;
    private int refused;

    /** Decides whether the server refuses a request, given the number of requests that it executes without it. */
    @FunctionalInterface
    private interface Refusal {
        boolean refuses(int executing);
    }

    private void start(int slots, CapacityControl control, double coldRate) {
        gate.serviceConfig =
                ServiceConfig.withDefaults(GateFixture.SERVICE, false).withCapacityControl(control, coldRate);
        gate.attach(slots, GateFixture.ALL_CAPABILITIES);
    }

    private void onCall(Refusal refusal, boolean statesLoad, int foreignCalls, int slots) {
        gate.backend.onCall = call -> {
            sentAtMs.add(nowMs);
            if (refusal.refuses(executing)) {
                refused++;
                call.fail(ResultCode.OVERLOADED);
                return;
            }
            executing++;
            gate.timers.once(SERVICE_MS, gate.timers, () -> {
                if (statesLoad) {
                    gate.backend.report = gate.backend.report.withLoad(
                            new StatedLoad(executing + foreignCalls, 0, slots, 100, gate.nowNanos()));
                }
                executing--;
                accepted++;
                call.succeed();
            });
        };
    }

    private int play(double arrivalsPerSecond, long durationMs) {
        int arrivals = 0;
        for (long endMs = nowMs + durationMs; nowMs < endMs; nowMs++) {
            if (random.nextDouble() < arrivalsPerSecond / SECOND_MS) {
                gate.submit(gate.newPost("k" + arrivals));
                arrivals++;
            }
            gate.timers.advanceMs(1);
            runningAtServer.addLast(executing);
        }
        return arrivals;
    }

    private long mostInOneSecond() {
        long most = 0;
        for (long fromMs : sentAtMs) {
            most = Math.max(
                    most,
                    sentAtMs.stream()
                            .filter(ms -> ms >= fromMs && ms < fromMs + SECOND_MS)
                            .count());
        }
        return most;
    }

    /**
     * A faulty server refused 55% of its requests for 8.5 s although it had room; each refusal halved the concurrency,
     * which stayed at one call, so that most of the requests that the server would have accepted were refused, too.
     */
    @ParameterizedTest
    @CsvSource({"4, MEASURED", "13, MEASURED", "4, REFUSALS", "13, REFUSALS"})
    void refusalsOfAServerWithRoomLeaveItBusy(int slots, CapacityControl control) {
        start(slots, control, 0);
        onCall(executing -> random.nextDouble() < 0.55, false, 0, slots);
        int arrivals = play(0.9 * slots * SECOND_MS / SERVICE_MS, 8_500);
        double acceptedShare = (double) accepted / arrivals;
        if (control == CapacityControl.MEASURED) {
            assertThat(acceptedShare).isGreaterThan(0.4);
        } else {
            assertThat(acceptedShare).isLessThan(0.35);
        }
    }

    /** Guards against a gate that takes every refusal for a fault and goes on to overrun a server that is full. */
    @ParameterizedTest
    @CsvSource({"4, 2", "13, 5"})
    void fullServerGetsAsManyCallsAsItTakes(int slots, int capacity) {
        start(slots, CapacityControl.MEASURED, 0);
        onCall(executing -> executing >= capacity, false, 0, slots);
        play((double) slots * SECOND_MS / SERVICE_MS, 10_000);
        assertThat((double) refused / (accepted + refused)).isLessThan(0.2);
        assertThat((double) accepted).isGreaterThan(0.6 * capacity * 10_000 / SERVICE_MS);
    }

    /**
     * A server still executes calls of an earlier process of its daemon. One that hangs when it is full must not get more
     * than it can queue.
     */
    @Test
    void slotsThatOthersUseAreLeftFree() {
        int slots = 13;
        int foreignCalls = 6;
        start(slots, CapacityControl.MEASURED, 0);
        onCall(executing -> false, true, foreignCalls, slots);
        play(2 * SERVICE_MS, 2 * SERVICE_MS);
        runningAtServer.clear();
        play(2.0 * slots * SECOND_MS / SERVICE_MS, 2_000);
        assertThat(runningAtServer).allMatch(running -> running + foreignCalls <= slots);
        assertThat(runningAtServer).anyMatch(running -> running + foreignCalls == slots);
    }

    /** A cold server that got 24 requests in a second crashed. */
    @ParameterizedTest
    @CsvSource({"20", "60", "300"})
    void coldServerGetsNoMoreThanItTolerates(double arrivalsPerSecond) {
        start(13, CapacityControl.MEASURED, COLD_RATE);
        onCall(executing -> false, false, 0, 13);
        long coldMs = 4_000;
        gate.backend.report = gate.backend.report.withColdUntilNanos(
                OptionalLong.of(gate.nowNanos() + TimeUnit.MILLISECONDS.toNanos(coldMs)));
        play(arrivalsPerSecond, coldMs - 10);
        assertThat((double) mostInOneSecond()).isLessThan(COLD_LIMIT);
        assertThat((double) sentAtMs.size()).isGreaterThan(0.9 * COLD_RATE * coldMs / SECOND_MS);
        sentAtMs.clear();
        play(300, 1_000);
        assertThat((double) mostInOneSecond()).as("warm again").isGreaterThan(4 * COLD_LIMIT);
    }

    /** Other work on the host tripled all durations for 400 ms, and choosers went on to prefer the server meanwhile. */
    @Test
    void reportedServiceTimeFollowsTheStatedSpeedOfTheHost() {
        start(13, CapacityControl.MEASURED, 0);
        onCall(executing -> false, true, 0, 13);
        play(50, 2_000);
        double usualMs = gate.core.load().serviceMs();
        gate.backend.onCall = call -> {
            gate.backend.report = gate.backend.report.withLoad(new StatedLoad(1, 0, 13, 300, gate.nowNanos()));
            gate.timers.once(1, gate.timers, call::succeed);
        };
        gate.submit(gate.newPost("slow"));
        gate.timers.advanceMs(30);
        assertThat(gate.core.load().serviceMs()).isBetween(2 * usualMs, 3.1 * usualMs);
        gate.timers.advanceMs(1_000);
        gate.submit(gate.newPost("later"));
        assertThat(gate.core.load().serviceMs()).isLessThan(1.2 * usualMs);
    }
}
