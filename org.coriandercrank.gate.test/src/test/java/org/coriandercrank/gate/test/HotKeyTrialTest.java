package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.gate.test.FakeBackend.Call;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.junit.jupiter.api.Test;

/**
 * Measures what a hot key does to the other keys, in virtual time: 18 slots, exponential service time of 10 ms, queue
 * of 64, deadline 200 ms. The other keys ask for half of the capacity, the hot key for the rest of the offered load.
 */
class HotKeyTrialTest {
    private static final int SLOTS = 18;
    private static final double SERVICE_MS = 10;
    private static final double CAPACITY_PER_MS = SLOTS / SERVICE_MS;
    private static final double DURATION_MS = 20_000;
    private static final long DEADLINE_MS = 200;
    private static final long SEED = 7;

    /** Goodput as a share of what was offered or, for the total, of the capacity. Immutable. */
    record Figures(double othersGoodput, double othersP99Ms, double totalGoodput) {}

    private static final class Trial {
        private final GateFixture gate = new GateFixture();
        private final Random random = new Random(SEED);
        private final List<Double> othersMs = new ArrayList<>();
        private int othersOffered;
        private int good;
        private int nextId;

        Trial(int maxKeySharePercent) {
            ServiceConfig rules = gate.rules;
            gate.rules = new ServiceConfig(
                    rules.name(),
                    true,
                    rules.repeatableMethods(),
                    rules.defaultDeadlineMs(),
                    rules.maxDeadlineMs(),
                    rules.maxBodyBytes(),
                    rules.maxQueueLength(),
                    maxKeySharePercent,
                    rules.placementPolicy(),
                    rules.balancingPolicy(),
                    rules.locality(),
                    rules.keySpaceBits());
            gate.serving(SLOTS);
            gate.backend.onCall = this::serve;
        }

        Figures run(double load) {
            arrive(CAPACITY_PER_MS * 0.5, false);
            arrive(CAPACITY_PER_MS * (load - 0.5), true);
            gate.timers.advanceMs(DURATION_MS);
            Collections.sort(othersMs);
            double p99Ms = othersMs.get((int) (othersMs.size() * 0.99));
            return new Figures((double) othersMs.size() / othersOffered, p99Ms, good / (CAPACITY_PER_MS * DURATION_MS));
        }

        private void serve(Call call) {
            gate.timers.after(exponential(1 / SERVICE_MS), call::succeed);
        }

        private void arrive(double perMs, boolean hot) {
            gate.timers.after(exponential(perMs), () -> {
                submit(hot);
                arrive(perMs, hot);
            });
        }

        private void submit(boolean hot) {
            String key = hot ? "hot" : "cold" + random.nextInt(1_000);
            CallerRequest request =
                    GateFixture.request("r" + nextId++, key, "GET", DEADLINE_MS, null, OptionalLong.empty());
            long sentAtNanos = gate.now();
            othersOffered += hot ? 0 : 1;
            CompletableFuture<CallerAnswer> result = new CompletableFuture<>();
            result.thenAccept(answer -> {
                if (answer.code() == ResultCode.OK) {
                    good++;
                    if (!hot) {
                        othersMs.add((gate.now() - sentAtNanos) / 1e6);
                    }
                }
            });
            gate.core.submit(request, sentAtNanos, result);
        }

        private double exponential(double ratePerMs) {
            return -Math.log(1 - random.nextDouble()) / ratePerMs;
        }
    }

    /** Guards against a hot key that starves the others, and against a share that wastes the server. */
    @Test
    void perKeyShareProtectsTheOtherKeys() {
        for (double load : new double[] {1, 2, 4}) {
            Figures with = new Trial(50).run(load);
            Figures without = new Trial(100).run(load);
            System.out.printf("hot-key load=%.0fx share=50%% %s%n", load, with);
            System.out.printf("hot-key load=%.0fx share=100%% %s%n", load, without);
            assertThat(with.othersGoodput()).isGreaterThan(0.95);
            assertThat(with.totalGoodput()).isGreaterThan(0.9 * without.totalGoodput());
            if (load > 1) {
                assertThat(without.othersGoodput()).isLessThan(0.9 * with.othersGoodput());
            }
        }
    }

    /** Guards against a share that refuses a lone hot key while slots and queue are free. */
    @Test
    void loneHotKeyMayUseTheWholeServer() {
        GateFixture gate = new GateFixture().serving(SLOTS);
        for (int i = 0; i < SLOTS + 40; i++) {
            gate.submit(gate.post("hot"));
        }
        assertThat(gate.backend.calls).hasSize(SLOTS);
        assertThat(gate.core.status().queued()).isEqualTo(40);
    }
}
