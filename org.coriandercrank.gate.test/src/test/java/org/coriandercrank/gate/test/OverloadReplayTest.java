package org.coriandercrank.gate.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.RequestRules;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.junit.jupiter.api.Test;

/**
 * Simulates overload of a payment server: for several seconds more requests arrive than it can execute. The requests
 * are payments and short internal checks of high priority, and longer lookups of low priority.
 */
class OverloadReplayTest {
    private static final int SLOTS = 18;
    private static final long SEED = 7;
    private static final double DURATION_MS = 12_000;
    private static final double SERVED_AGAIN_LIMIT_MS = 5_000;

    /** A request class: its rules, deadline, mean service time, and share of the arrivals. Immutable. */
    private record RequestClass(RequestRules rules, long deadlineMs, double meanServiceMs, double arrivalShare) {}

    private static final RequestClass PAYMENT = new RequestClass(new RequestRules(false, 2, 1, 600), 1_500, 210, 0.4);
    private static final RequestClass CHECK = new RequestClass(new RequestRules(true, 2, 1, 150), 500, 40, 0.4);
    private static final RequestClass LOOKUP = new RequestClass(new RequestRules(true, 2, 2, 1_200), 3_000, 400, 0.2);
    private static final List<RequestClass> REQUEST_CLASSES = List.of(PAYMENT, CHECK, LOOKUP);

    /** Results of the requests of a class. */
    private static final class ResultCounts {
        private int offered;
        private int withinObjective;
        private int late;
        private int refused;
        private int failed;
        private double totalRefusalMs;

        void clear() {
            offered = 0;
            withinObjective = 0;
            late = 0;
            refused = 0;
            failed = 0;
            totalRefusalMs = 0;
        }

        double withinObjectiveShare() {
            return (double) withinObjective / offered;
        }

        double servedShare() {
            return (double) (withinObjective + late) / offered;
        }
    }

    /** Runs the gate with random arrivals and service times in virtual time. */
    private static final class Simulation {
        private final GateFixture gate = new GateFixture();
        private final Random random = new Random(SEED);
        private final boolean rulesEnabled;
        private final List<ResultCounts> counts = List.of(new ResultCounts(), new ResultCounts(), new ResultCounts());
        private final List<Double> retryTimesMs = new ArrayList<>();
        private final long startedAtNanos = gate.nowNanos();
        private int nextId;
        private boolean arrivalsEnded;
        private double slowdown = 1;

        Simulation(boolean rulesEnabled) {
            this.rulesEnabled = rulesEnabled;
            gate.serviceConfig = ServiceConfig.withDefaults(GateFixture.SERVICE, false);
            gate.attach(SLOTS, GateFixture.ALL_CAPABILITIES);
            gate.backend.onCall = call -> {
                RequestClass requestClass = REQUEST_CLASSES.get(
                        Integer.parseInt(call.backendCall.request().path().substring(1)));
                gate.timers.scheduleAfter(randomServiceMs(requestClass), call::succeed);
            };
        }

        private double randomServiceMs(RequestClass requestClass) {
            return slowdown * requestClass.meanServiceMs() * (0.3 + 1.4 * random.nextDouble());
        }

        Simulation run(double load) {
            double meanMs = REQUEST_CLASSES.stream()
                    .mapToDouble(requestClass -> requestClass.arrivalShare() * requestClass.meanServiceMs())
                    .sum();
            scheduleArrival(load * SLOTS / meanMs);
            gate.timers.advanceMs((long) DURATION_MS);
            return this;
        }

        /** Stops the arrivals and advances the time beyond the deadlines of all requests. */
        Simulation finish() {
            arrivalsEnded = true;
            gate.timers.advanceMs(2
                    * REQUEST_CLASSES.stream()
                            .mapToDouble(RequestClass::deadlineMs)
                            .max()
                            .orElseThrow());
            return this;
        }

        private void scheduleArrival(double ratePerMs) {
            gate.timers.scheduleAfter(-Math.log(1 - random.nextDouble()) / ratePerMs, () -> {
                if (arrivalsEnded) {
                    return;
                }
                double uniform = random.nextDouble();
                int classIndex = uniform < PAYMENT.arrivalShare()
                        ? 0
                        : uniform < PAYMENT.arrivalShare() + CHECK.arrivalShare() ? 1 : 2;
                submit(classIndex);
                scheduleArrival(ratePerMs);
            });
        }

        private void submit(int classIndex) {
            RequestClass requestClass = REQUEST_CLASSES.get(classIndex);
            ResultCounts classCounts = counts.get(classIndex);
            CallerRequest template = GateFixture.request(
                    "r" + nextId++, "k", "POST", requestClass.deadlineMs(), null, OptionalLong.empty());
            CallerRequest request = new CallerRequest(
                    template.id(),
                    template.service(),
                    Optional.empty(),
                    "POST",
                    "/" + classIndex,
                    List.of(),
                    template.body(),
                    requestClass.deadlineMs(),
                    Optional.empty(),
                    OptionalLong.empty(),
                    rulesEnabled ? Optional.of(requestClass.rules()) : Optional.empty());
            long sentAtNanos = gate.nowNanos();
            classCounts.offered++;
            CompletableFuture<CallerAnswer> result = new CompletableFuture<>();
            result.thenAccept(
                    answer -> count(requestClass, classCounts, answer, (gate.nowNanos() - sentAtNanos) / 1e6));
            gate.core.submit(request, sentAtNanos, result);
        }

        private void count(RequestClass requestClass, ResultCounts classCounts, CallerAnswer answer, double latencyMs) {
            if (answer.code() == ResultCode.OK) {
                if (latencyMs <= requestClass.rules().latencyObjectiveMs()) {
                    classCounts.withinObjective++;
                } else {
                    classCounts.late++;
                }
            } else if (answer.outcome() == Outcome.NOT_RUN) {
                classCounts.refused++;
                classCounts.totalRefusalMs += latencyMs;
                answer.retryAfterMs().ifPresent(ms -> retryTimesMs.add((gate.nowNanos() - startedAtNanos) / 1e6 + ms));
            } else {
                classCounts.failed++;
            }
        }
    }

    /** Without rules, requests run in order of arrival and are refused only by deadline, so that most are late. */
    @Test
    void overloadKeepsPaymentsAndChecksWithinObjective() {
        Simulation withoutRules = new Simulation(false).run(1.5);
        Simulation withRules = new Simulation(true).run(1.5);
        assertThat(withoutRules.counts.get(0).withinObjectiveShare()).isLessThan(0.5);
        assertThat(withRules.counts.get(0).withinObjectiveShare()).isGreaterThan(0.85);
        assertThat(withRules.counts.get(1).withinObjectiveShare()).isGreaterThan(0.85);
    }

    /** Guards against requests of a higher priority being served worse than those of a lower priority. */
    @Test
    void higherPriorityIsServedBetter() {
        Simulation simulation = new Simulation(true).run(2);
        double lookups = simulation.counts.get(2).servedShare();
        assertThat(simulation.counts.get(0).servedShare()).isGreaterThan(lookups);
        assertThat(simulation.counts.get(1).servedShare()).isGreaterThan(lookups);
    }

    /** Guards against queueing a request until its deadline although it cannot be served in time. */
    @Test
    void refusalsAreImmediate() {
        Simulation simulation = new Simulation(true).run(2);
        for (int i = 0; i < REQUEST_CLASSES.size(); i++) {
            ResultCounts counts = simulation.counts.get(i);
            if (counts.refused > 0) {
                assertThat(counts.totalRefusalMs / counts.refused)
                        .as("mean time to a refusal of request class %d", i)
                        .isLessThan(REQUEST_CLASSES.get(i).deadlineMs() / 8.0);
            }
        }
    }

    /** Guards against lost requests during overload: each has exactly one result. */
    @Test
    void eachRequestHasOneResult() {
        Simulation simulation = new Simulation(true).run(2).finish();
        for (ResultCounts counts : simulation.counts) {
            assertThat(counts.withinObjective + counts.late + counts.refused + counts.failed)
                    .isEqualTo(counts.offered);
        }
    }

    /**
     * Guards against retries of refused callers at the same time: no interval of 100 ms may get more than three times
     * as many retries as the server can execute in it.
     */
    @Test
    void retriesAreSpreadOverTime() {
        Simulation simulation = new Simulation(true).run(2);
        double meanMs = REQUEST_CLASSES.stream()
                .mapToDouble(requestClass -> requestClass.arrivalShare() * requestClass.meanServiceMs())
                .sum();
        double capacityPerInterval = 100 * SLOTS / meanMs;
        long[] retriesPerInterval = new long[200];
        simulation.retryTimesMs.forEach(ms -> retriesPerInterval[Math.min(199, (int) (ms / 100))]++);
        long maxRetries = 0;
        for (long n : retriesPerInterval) {
            maxRetries = Math.max(maxRetries, n);
        }
        assertThat((double) maxRetries).isLessThan(3 * capacityPerInterval);
    }

    /**
     * Guards against requests that a server refused for the rest of the day because it was slow when it started: without
     * executions of a request class, the expected execution time of the class did not change any more.
     */
    @Test
    void requestsAreServedAgainAfterServerWasSlow() {
        Simulation simulation = new Simulation(true);
        simulation.slowdown = 6;
        simulation.run(0.6);
        simulation.slowdown = 1;
        simulation.gate.timers.advanceMs(SERVED_AGAIN_LIMIT_MS);
        simulation.counts.forEach(ResultCounts::clear);
        simulation.gate.timers.advanceMs(DURATION_MS);
        simulation.counts.forEach(classCounts -> assertThat(classCounts.withinObjectiveShare())
                .as("within objective")
                .isGreaterThan(0.9));
    }

    /** Guards against refusals without overload, even if a short burst of requests waits. */
    @Test
    void normalLoadIsNotRefused() {
        Simulation simulation = new Simulation(true).run(0.75);
        simulation.counts.forEach(classCounts -> assertThat(classCounts.refused).isZero());
        assertThat(simulation.counts.get(0).withinObjectiveShare()).isGreaterThan(0.99);
    }
}
