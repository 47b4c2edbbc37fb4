package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntPredicate;
import java.util.function.IntUnaryOperator;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.kernel.backend.StatedLoad;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.CapacityControl;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays servers that refuse falsely, state nonsense, slow down or never answer what they cannot queue. */
class ServerCapacityFaultTest {
    private static final long SERVICE_MS = 80;
    private static final double SECOND_MS = 1_000;
    private static final int USUAL = StatedLoad.USUAL_WORK_PERCENT;

    private final GateFixture gate = new GateFixture(GateOptions.DEFAULTS.withSlowStartMs(0));
    private final Random random = new Random(23);
    private final List<CompletableFuture<CallerAnswer>> answers = new ArrayList<>();
    private long nowMs;
    private int executing;
    private int accepted;
    private int refused;
    private int slots = 13;

    /** Creates the statement that follows a response; null for none. */
    private interface Statement {
        StatedLoad state();
    }

    private void start(Statement statement, IntPredicate refusal, IntUnaryOperator serviceMs) {
        gate.serviceConfig =
                ServiceConfig.withDefaults(GateFixture.SERVICE, false).withCapacityControl(CapacityControl.MEASURED, 0);
        gate.attach(slots, GateFixture.ALL_CAPABILITIES);
        gate.backend.onCall = call -> {
            if (refusal.test(executing)) {
                refused++;
                state(statement);
                call.fail(ResultCode.OVERLOADED);
                return;
            }
            executing++;
            gate.timers.once(serviceMs.applyAsInt((int) nowMs), gate.timers, () -> {
                executing--;
                accepted++;
                state(statement);
                call.succeed();
            });
        };
    }

    private void state(Statement statement) {
        StatedLoad load = statement.state();
        if (load != null) {
            gate.backend.report = gate.backend.report.withLoad(load);
        }
    }

    private StatedLoad load(int running, int waiting, int statedSlots, int workPercent) {
        return new StatedLoad(running, waiting, statedSlots, workPercent, gate.nowNanos());
    }

    private int play(double arrivalsPerSecond, long durationMs) {
        int arrivals = 0;
        for (long endMs = nowMs + durationMs; nowMs < endMs; nowMs++) {
            if (random.nextDouble() < arrivalsPerSecond / SECOND_MS) {
                answers.add(gate.submit(gate.newPost("k" + answers.size())));
                arrivals++;
            }
            gate.timers.advanceMs(1);
        }
        return arrivals;
    }

    /** Guards requirement 5: false refusals do not reduce what a server with room executes. */
    @ParameterizedTest
    @CsvSource({"4,10", "4,30", "4,55", "4,90", "13,10", "13,30", "13,55", "13,90"})
    void falseRefusalsOfAnyShareLeaveTheServerBusy(int newSlots, int percent) {
        slots = newSlots;
        start(() -> null, running -> random.nextInt(100) < percent, now -> (int) SERVICE_MS);
        int arrivals = play(0.9 * slots * SECOND_MS / SERVICE_MS, 8_500);
        assertThat(accepted / (double) arrivals).isGreaterThan(0.8 * (100 - percent) / 100);
    }

    /** A server that refuses falsely and is full as well still gets about what it takes, and not many more. */
    @ParameterizedTest
    @CsvSource({"4,2", "13,5"})
    @Tag("known-red")
    void fullServerThatAlsoRefusesFalselyGetsWhatItTakes(int newSlots, int capacity) {
        slots = newSlots;
        start(() -> null, running -> running >= capacity || random.nextInt(100) < 30, now -> (int) SERVICE_MS);
        play(slots * SECOND_MS / SERVICE_MS, 10_000);
        assertThat(accepted).isGreaterThan((int) (0.5 * capacity * 10_000 / SERVICE_MS));
        assertThat(refused / (double) (accepted + refused)).isLessThan(0.5);
    }

    /** The statement of a response must not outweigh refusals seconds later, whose responses state nothing. */
    @Test
    void oldStatementOfRoomDoesNotExcuseLaterRefusals() {
        int capacity = 5;
        start(() -> nowMs < 1_000 ? load(0, 0, slots, USUAL) : null, running -> running >= capacity, now ->
                (int) SERVICE_MS);
        play(20, 1_000);
        play(slots * SECOND_MS / SERVICE_MS, 2_000);
        accepted = 0;
        refused = 0;
        play(slots * SECOND_MS / SERVICE_MS, 8_000);
        assertThat(refused / (double) (accepted + refused)).isLessThan(0.2);
    }

    /** The statement of a queue must not turn false refusals seconds later into overload. */
    @Test
    void oldStatementOfAQueueDoesNotExplainLaterRefusals() {
        start(
                () -> nowMs < 1_000 ? load(slots, 4, slots, USUAL) : null,
                running -> nowMs >= 1_000 && random.nextInt(100) < 55,
                now -> (int) SERVICE_MS);
        play(20, 3_000);
        accepted = 0;
        int arrivals = play(0.9 * slots * SECOND_MS / SERVICE_MS, 8_500);
        assertThat(accepted / (double) arrivals).isGreaterThan(0.8 * 0.45);
    }

    /** Statements that cannot be true must neither stop the requests nor lift the limit by slots. */
    @ParameterizedTest
    @CsvSource({
        "0,0,1000000,100",
        "0,0,1,100",
        "0,0,13,1",
        "0,0,13,2147483647",
        "2147483647,0,13,100",
        "2147483647,2147483647,13,100",
        "7,0,13,100"
    })
    void nonsenseNeitherStopsNorOverloadsTheServer(int running, int waiting, int statedSlots, int workPercent) {
        List<Integer> most = new ArrayList<>();
        start(
                () -> load(running, waiting, statedSlots, workPercent),
                now -> {
                    most.add(executing + 1);
                    return false;
                },
                now -> (int) SERVICE_MS);
        play(8, 2_000);
        accepted = 0;
        int arrivals = play(8, 5_000);
        assertThat(accepted / (double) arrivals).as("few requests").isGreaterThan(0.9);
        play(2 * slots * SECOND_MS / SERVICE_MS, 5_000);
        assertThat(most).allMatch(calls -> calls <= slots);
    }

    /** Late and refused requests of a server that slows threefold for 400 ms every 2 s, of 200 requests per second. */
    private int lost(boolean statesWork) {
        IntPredicate slow = now -> now % 2_000 < 400;
        start(
                () -> load(executing, 0, slots, statesWork && slow.test((int) nowMs) ? 3 * USUAL : USUAL),
                running -> false,
                now -> (int) (slow.test(now) ? 3 * SERVICE_MS : SERVICE_MS));
        answers.clear();
        nowMs = 1_000;
        play(0.85 * slots * SECOND_MS / SERVICE_MS, 20_000);
        gate.timers.advanceMs(3_000);
        return (int) answers.stream()
                .filter(answer -> !answer.isDone() || answer.join().outcome() != Outcome.RUN)
                .count();
    }

    @Test
    void statedWorkDoesNotLoseMoreRequestsThanNone() {
        int without = new ServerCapacityFaultTest().lost(false);
        int with = lost(true);
        System.out.println("slow-host lost without=" + without + " with=" + with + " of " + answers.size());
        assertThat(with).isLessThanOrEqualTo(without);
    }

    /**
     * A server with 13 slots and a queue of 50 never answers a request that it cannot queue. Its calls take ten times
     * as long as usual, and end at their deadlines, as the capability DEADLINE promises.
     */
    @ParameterizedTest
    @CsvSource({"0", "40"})
    void serverThatHangsWhenFullNeverGetsMoreThanItCanQueue(int othersCalls) {
        int queueLength = 50;
        List<Integer> pending = new ArrayList<>();
        HangingServer server = new HangingServer(slots, queueLength, othersCalls, pending);
        gate.serviceConfig =
                ServiceConfig.withDefaults(GateFixture.SERVICE, false).withCapacityControl(CapacityControl.MEASURED, 0);
        gate.attach(slots, GateFixture.ALL_CAPABILITIES);
        gate.backend.onCall = server::receive;
        play(2 * slots * SECOND_MS / SERVICE_MS, 3_000);
        server.serviceMs = 10 * SERVICE_MS;
        play(2 * slots * SECOND_MS / SERVICE_MS, 20_000);
        assertThat(pending).allMatch(calls -> calls <= slots + queueLength);
        assertThat(pending).hasSizeGreaterThan(100);
    }

    /** Executes in order of arrival. */
    private final class HangingServer {
        private final int serverSlots;
        private final int capacity;
        private final List<Integer> pendingAtArrival;
        private final Deque<FakeBackend.Call> waiting = new ArrayDeque<>();
        private final Set<FakeBackend.Call> running = new LinkedHashSet<>();
        private long serviceMs = SERVICE_MS;

        HangingServer(int serverSlots, int queueLength, int othersCalls, List<Integer> pendingAtArrival) {
            this.serverSlots = serverSlots;
            this.pendingAtArrival = pendingAtArrival;
            capacity = serverSlots + queueLength;
            for (int i = 0; i < othersCalls; i++) {
                waiting.add(new FakeBackend.Call(null));
            }
            startWaiting();
        }

        void receive(FakeBackend.Call call) {
            pendingAtArrival.add(running.size() + waiting.size() + 1);
            long remainingMs = call.backendCall.request().remainingMs();
            gate.timers.once(remainingMs, gate.timers, () -> {
                waiting.remove(call);
                end(call);
            });
            // The client gives a call up 100 ms after its deadline and closes its connection.
            gate.timers.once(remainingMs + 100, gate.timers, () -> {
                if (!call.answer.isDone()) {
                    call.fail(ResultCode.OUTCOME_UNKNOWN);
                }
            });
            if (running.size() + waiting.size() < capacity) {
                waiting.add(call);
                startWaiting();
            }
        }

        private void startWaiting() {
            while (running.size() < serverSlots && !waiting.isEmpty()) {
                FakeBackend.Call call = waiting.remove();
                running.add(call);
                gate.timers.once(serviceMs, gate.timers, () -> {
                    if (end(call) && call.backendCall != null) {
                        gate.backend.report =
                                gate.backend.report.withLoad(load(running.size(), waiting.size(), serverSlots, USUAL));
                        call.succeed();
                    }
                });
            }
        }

        private boolean end(FakeBackend.Call call) {
            boolean ended = running.remove(call);
            startWaiting();
            return ended;
        }
    }
}
