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
 * Replays the worst load of a payments server: more work than it can do for some seconds, payments of the higher rank,
 * short internal checks, and lookups that take longer.
 */
class OverloadReplayTest {
    private static final int SLOTS = 18;
    private static final long SEED = 7;
    private static final double DURATION_MS = 12_000;

    /** A kind of request: its rules, deadline, mean work, and share of the arrivals. Immutable. */
    private record Kind(RequestRules rules, long deadlineMs, double workMs, double share) {}

    private static final Kind PAYMENT = new Kind(new RequestRules(false, 2, 1, 600), 1_500, 210, 0.4);
    private static final Kind CHECK = new Kind(new RequestRules(true, 2, 1, 150), 500, 40, 0.4);
    private static final Kind LOOKUP = new Kind(new RequestRules(true, 2, 2, 1_200), 3_000, 400, 0.2);
    private static final List<Kind> KINDS = List.of(PAYMENT, CHECK, LOOKUP);

    /** What became of the requests of a kind. */
    private static final class Tally {
        private int offered;
        private int inTime;
        private int late;
        private int refused;
        private int failed;
        private double refusedAfterMs;

        double inTimeShare() {
            return (double) inTime / offered;
        }

        double servedShare() {
            return (double) (inTime + late) / offered;
        }
    }

    private static final class Replay {
        private final GateFixture gate = new GateFixture();
        private final Random random = new Random(SEED);
        private final boolean withRules;
        private final List<Tally> tallies = List.of(new Tally(), new Tally(), new Tally());
        private final List<Double> retryAfterMs = new ArrayList<>();
        private final long startedAtNanos = gate.now();
        private int nextId;
        private boolean arrivalsEnded;

        Replay(boolean withRules) {
            this.withRules = withRules;
            gate.rules = ServiceConfig.withDefaults(GateFixture.SERVICE, false);
            gate.attach(SLOTS, GateFixture.ALL);
            gate.backend.onCall = call -> {
                Kind kind =
                        KINDS.get(Integer.parseInt(call.request.request().path().substring(1)));
                gate.timers.after(work(kind), call::succeed);
            };
        }

        private double work(Kind kind) {
            return kind.workMs() * (0.3 + 1.4 * random.nextDouble());
        }

        Replay run(double load) {
            double meanMs =
                    KINDS.stream().mapToDouble(k -> k.share() * k.workMs()).sum();
            arrive(load * SLOTS / meanMs);
            gate.timers.advanceMs((long) DURATION_MS);
            return this;
        }

        /** Ends the arrivals and lets the deadlines of all requests pass. */
        Replay drain() {
            arrivalsEnded = true;
            gate.timers.advanceMs(
                    2 * KINDS.stream().mapToDouble(Kind::deadlineMs).max().orElseThrow());
            return this;
        }

        private void arrive(double perMs) {
            gate.timers.after(-Math.log(1 - random.nextDouble()) / perMs, () -> {
                if (arrivalsEnded) {
                    return;
                }
                double pick = random.nextDouble();
                int kind = pick < PAYMENT.share() ? 0 : pick < PAYMENT.share() + CHECK.share() ? 1 : 2;
                submit(kind);
                arrive(perMs);
            });
        }

        private void submit(int index) {
            Kind kind = KINDS.get(index);
            Tally tally = tallies.get(index);
            CallerRequest plain =
                    GateFixture.request("r" + nextId++, "k", "POST", kind.deadlineMs(), null, OptionalLong.empty());
            CallerRequest request = new CallerRequest(
                    plain.id(),
                    plain.service(),
                    Optional.empty(),
                    "POST",
                    "/" + index,
                    List.of(),
                    plain.body(),
                    kind.deadlineMs(),
                    Optional.empty(),
                    OptionalLong.empty(),
                    withRules ? Optional.of(kind.rules()) : Optional.empty());
            long sentAtNanos = gate.now();
            tally.offered++;
            CompletableFuture<CallerAnswer> result = new CompletableFuture<>();
            result.thenAccept(answer -> count(kind, tally, answer, (gate.now() - sentAtNanos) / 1e6));
            gate.core.submit(request, sentAtNanos, result);
        }

        private void count(Kind kind, Tally tally, CallerAnswer answer, double tookMs) {
            if (answer.code() == ResultCode.OK) {
                if (tookMs <= kind.rules().latencyObjectiveMs()) {
                    tally.inTime++;
                } else {
                    tally.late++;
                }
            } else if (answer.outcome() == Outcome.NOT_RUN) {
                tally.refused++;
                tally.refusedAfterMs += tookMs;
                answer.retryAfterMs().ifPresent(ms -> retryAfterMs.add((gate.now() - startedAtNanos) / 1e6 + ms));
            } else {
                tally.failed++;
            }
        }
    }

    /** Before: order of arrival and refusal by deadline alone, so that nearly everyone is late. */
    @Test
    void overloadLeavesPaymentsAndChecksInTime() {
        Replay before = new Replay(false).run(1.5);
        Replay after = new Replay(true).run(1.5);
        assertThat(before.tallies.get(0).inTimeShare()).isLessThan(0.5);
        assertThat(after.tallies.get(0).inTimeShare()).isGreaterThan(0.85);
        assertThat(after.tallies.get(1).inTimeShare()).isGreaterThan(0.85);
    }

    /** A request of a higher rank must not be served worse than one of a lower rank. */
    @Test
    void higherRankIsServedBetter() {
        Replay after = new Replay(true).run(2);
        double lookups = after.tallies.get(2).servedShare();
        assertThat(after.tallies.get(0).servedShare()).isGreaterThan(lookups);
        assertThat(after.tallies.get(1).servedShare()).isGreaterThan(lookups);
    }

    /** A hopeless request is refused at once, not held until its time is over. */
    @Test
    void refusalsComeAtOnce() {
        Replay after = new Replay(true).run(2);
        for (int i = 0; i < KINDS.size(); i++) {
            Tally tally = after.tallies.get(i);
            if (tally.refused > 0) {
                assertThat(tally.refusedAfterMs / tally.refused)
                        .as("mean time to a refusal of kind %d", i)
                        .isLessThan(KINDS.get(i).deadlineMs() / 8.0);
            }
        }
    }

    /** Overload must not lose a request: each has exactly one result. */
    @Test
    void eachRequestHasOneResult() {
        Replay after = new Replay(true).run(2).drain();
        for (Tally tally : after.tallies) {
            assertThat(tally.inTime + tally.late + tally.refused + tally.failed).isEqualTo(tally.offered);
        }
    }

    /** Refused callers must not return together: no tenth of a second gets more of them than can be served. */
    @Test
    void refusedCallersReturnSpread() {
        Replay after = new Replay(true).run(2);
        double meanMs = KINDS.stream().mapToDouble(k -> k.share() * k.workMs()).sum();
        double capacityPerTenth = 100 * SLOTS / meanMs;
        long[] perTenth = new long[200];
        after.retryAfterMs.forEach(ms -> perTenth[Math.min(199, (int) (ms / 100))]++);
        long most = 0;
        for (long n : perTenth) {
            most = Math.max(most, n);
        }
        assertThat((double) most).isLessThan(3 * capacityPerTenth);
    }

    /** Without overload nothing is refused, also when a short burst waits. */
    @Test
    void normalLoadIsServedWhole() {
        Replay replay = new Replay(true).run(0.75);
        replay.tallies.forEach(tally -> assertThat(tally.refused).isZero());
        assertThat(replay.tallies.get(0).inTimeShare()).isGreaterThan(0.99);
    }
}
