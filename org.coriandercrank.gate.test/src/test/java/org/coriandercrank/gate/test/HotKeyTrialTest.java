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
 * Simulates the effect of a hot key on other keys in virtual time: 18 slots, exponentially distributed service time
 * with a mean of 10 ms, queue of 64, deadline 200 ms. The other keys request half of the capacity, the hot key the rest
 * of the offered load.
 */
class HotKeyTrialTest {
    private static final int SLOTS = 18;
    private static final double MEAN_SERVICE_MS = 10;
    private static final double CAPACITY_PER_MS = SLOTS / MEAN_SERVICE_MS;
    private static final double DURATION_MS = 20_000;
    private static final long DEADLINE_MS = 200;
    private static final long SEED = 7;

    /** Goodput as a fraction of the offered requests or, for the total, of the capacity. Immutable. */
    record Measurement(double othersGoodput, double othersP99Ms, double totalGoodput) {}

    /** Runs the gate with random arrivals and service times in virtual time. */
    private static final class Simulation {
        private final GateFixture gate = new GateFixture();
        private final Random random = new Random(SEED);
        private final List<Double> otherKeysLatencyMs = new ArrayList<>();
        private int otherKeysOffered;
        private int answeredOk;
        private int nextId;

        Simulation(int maxKeySharePercent) {
            ServiceConfig config = gate.serviceConfig;
            gate.serviceConfig = new ServiceConfig(
                    config.name(),
                    true,
                    config.repeatableMethods(),
                    config.defaultDeadlineMs(),
                    config.maxDeadlineMs(),
                    config.maxBodyBytes(),
                    config.maxQueueLength(),
                    maxKeySharePercent,
                    config.placementPolicy(),
                    config.balancingPolicy(),
                    config.locality(),
                    config.keySpaceBits());
            gate.startServing(SLOTS);
            gate.backend.onCall = this::scheduleAnswer;
        }

        Measurement run(double load) {
            scheduleArrival(CAPACITY_PER_MS * 0.5, false);
            scheduleArrival(CAPACITY_PER_MS * (load - 0.5), true);
            gate.timers.advanceMs(DURATION_MS);
            Collections.sort(otherKeysLatencyMs);
            double p99Ms = otherKeysLatencyMs.get((int) (otherKeysLatencyMs.size() * 0.99));
            return new Measurement(
                    (double) otherKeysLatencyMs.size() / otherKeysOffered,
                    p99Ms,
                    answeredOk / (CAPACITY_PER_MS * DURATION_MS));
        }

        private void scheduleAnswer(Call call) {
            gate.timers.scheduleAfter(randomExponentialMs(1 / MEAN_SERVICE_MS), call::succeed);
        }

        private void scheduleArrival(double ratePerMs, boolean hotKey) {
            gate.timers.scheduleAfter(randomExponentialMs(ratePerMs), () -> {
                submit(hotKey);
                scheduleArrival(ratePerMs, hotKey);
            });
        }

        private void submit(boolean hotKey) {
            String key = hotKey ? "hot" : "cold" + random.nextInt(1_000);
            CallerRequest request =
                    GateFixture.request("r" + nextId++, key, "GET", DEADLINE_MS, null, OptionalLong.empty());
            long sentAtNanos = gate.nowNanos();
            otherKeysOffered += hotKey ? 0 : 1;
            CompletableFuture<CallerAnswer> result = new CompletableFuture<>();
            result.thenAccept(answer -> {
                if (answer.code() == ResultCode.OK) {
                    answeredOk++;
                    if (!hotKey) {
                        otherKeysLatencyMs.add((gate.nowNanos() - sentAtNanos) / 1e6);
                    }
                }
            });
            gate.core.submit(request, sentAtNanos, result);
        }

        private double randomExponentialMs(double ratePerMs) {
            return -Math.log(1 - random.nextDouble()) / ratePerMs;
        }
    }

    /** Guards against a hot key that starves other keys, and against a key share that leaves capacity unused. */
    @Test
    void perKeyShareProtectsOtherKeys() {
        for (double load : new double[] {1, 2, 4}) {
            Measurement withShare = new Simulation(50).run(load);
            Measurement withoutShare = new Simulation(100).run(load);
            System.out.printf("hot-key load=%.0fx share=50%% %s%n", load, withShare);
            System.out.printf("hot-key load=%.0fx share=100%% %s%n", load, withoutShare);
            assertThat(withShare.othersGoodput()).isGreaterThan(0.95);
            assertThat(withShare.totalGoodput()).isGreaterThan(0.9 * withoutShare.totalGoodput());
            if (load > 1) {
                assertThat(withoutShare.othersGoodput()).isLessThan(0.9 * withShare.othersGoodput());
            }
        }
    }

    /** Guards against a key share that refuses a single hot key while slots and queue are free. */
    @Test
    void singleHotKeyMayUseTheWholeServer() {
        GateFixture gate = new GateFixture().startServing(SLOTS);
        for (int i = 0; i < SLOTS + 40; i++) {
            gate.submit(gate.newPost("hot"));
        }
        assertThat(gate.backend.calls).hasSize(SLOTS);
        assertThat(gate.core.status().queued()).isEqualTo(40);
    }
}
