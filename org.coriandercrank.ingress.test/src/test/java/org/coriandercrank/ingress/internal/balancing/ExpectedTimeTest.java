package org.coriandercrank.ingress.internal.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.ownership.GateLoad;
import org.coriandercrank.kernel.placement.BalancingCandidate;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.junit.jupiter.api.Test;

/** Guards against requests that wait at a slow or full server although another server could answer sooner. */
class ExpectedTimeTest {
    private static final long NANOS_PER_MS = 1_000_000;

    /** Speed of each server relative to {@link #SERVICE_TIME_MS}. */
    private static final double[] SPEEDS = {0.5, 1.0, 1.0, 1.5};

    /** Service time of a request at a server of speed 1. */
    private static final double SERVICE_TIME_MS = 200;

    private static final int SLOTS_PER_SERVER = 18;

    /** Latency objective of payment requests. */
    private static final double LATENCY_OBJECTIVE_MS = 600;

    private final Random random = new Random(5);
    private final ExpectedTimePolicy policy = new ExpectedTimePolicy();

    private static Member member(int number) {
        HostAddress address = new HostAddress("10.0.0." + (number + 1), 1);
        return new Member(
                new MemberId("m" + number),
                address,
                address,
                address,
                new Region("r"),
                new FailureDomain("d"),
                MemberState.ACTIVE,
                Optional.empty(),
                List.of());
    }

    /**
     * Simulates a service at 90% of its capacity whose servers differ in speed by a factor of three. Four daemons send
     * the requests. Each knows its own requests and the load that a server reports with each answer.
     */
    @Test
    void busyServersOfDifferentSpeedsMeetTheLatencyObjective() {
        int daemons = 4;
        List<LoadEstimator> estimators = new ArrayList<>();
        int[][] ownInFlight = new int[daemons][SPEEDS.length];
        for (int daemon = 0; daemon < daemons; daemon++) {
            estimators.add(new LoadEstimator());
        }
        int[] pending = new int[SPEEDS.length];
        double[] completedWork = new double[SPEEDS.length];
        List<int[]> running = new ArrayList<>();
        double arrivalsPerMs = 0.9 * SLOTS_PER_SERVER * 4.0 / SERVICE_TIME_MS;
        double dueArrivals = 0;
        int lateRequests = 0;
        int totalRequests = 0;
        for (long nowMs = 0; nowMs < 20_000; nowMs++) {
            for (dueArrivals += arrivalsPerMs; dueArrivals >= 1; dueArrivals--) {
                int daemon = random.nextInt(daemons);
                List<BalancingCandidate> candidates = new ArrayList<>();
                for (int server = 0; server < SPEEDS.length; server++) {
                    double expectedMs = estimators
                            .get(daemon)
                            .expectedMs(member(server).id(), ownInFlight[daemon][server], nowMs * NANOS_PER_MS);
                    candidates.add(new BalancingCandidate(
                            member(server), ownInFlight[daemon][server], true, true, 100, expectedMs));
                }
                int chosen = policy.choose(candidates, random);
                totalRequests++;
                pending[chosen]++;
                double serviceRounds = Math.max(1, (double) pending[chosen] / SLOTS_PER_SERVER);
                lateRequests += serviceRounds * SERVICE_TIME_MS / SPEEDS[chosen] > LATENCY_OBJECTIVE_MS ? 1 : 0;
                ownInFlight[daemon][chosen]++;
                running.add(new int[] {chosen, daemon});
            }
            for (int server = 0; server < SPEEDS.length; server++) {
                completedWork[server] += Math.min(SLOTS_PER_SERVER, pending[server]) * SPEEDS[server] / SERVICE_TIME_MS;
                while (completedWork[server] >= 1 && pending[server] > 0) {
                    completedWork[server]--;
                    completeOne(server, running, ownInFlight, pending, estimators, nowMs);
                }
            }
        }
        assertThat(totalRequests).isGreaterThan(6_000);
        assertThat((double) lateRequests / totalRequests).isLessThan(0.02);
    }

    private static void completeOne(
            int server,
            List<int[]> running,
            int[][] ownInFlight,
            int[] pending,
            List<LoadEstimator> estimators,
            long nowMs) {
        for (int i = 0; i < running.size(); i++) {
            if (running.get(i)[0] == server) {
                int daemon = running.remove(i)[1];
                pending[server]--;
                GateLoad load = new GateLoad(pending[server], SLOTS_PER_SERVER, SERVICE_TIME_MS / SPEEDS[server]);
                estimators
                        .get(daemon)
                        .recordReport(member(server).id(), load, ownInFlight[daemon][server], nowMs * NANOS_PER_MS);
                ownInFlight[daemon][server]--;
                return;
            }
        }
    }

    @Test
    void nearServerIsPreferredUnlessItIsMuchSlower() {
        List<BalancingCandidate> near = List.of(
                new BalancingCandidate(member(0), 0, true, true, 100, 200),
                new BalancingCandidate(member(1), 0, false, false, 100, 150));
        List<BalancingCandidate> nearIsFull = List.of(
                new BalancingCandidate(member(0), 0, true, true, 100, 600),
                new BalancingCandidate(member(1), 0, false, false, 100, 150));
        for (int i = 0; i < 50; i++) {
            assertThat(policy.choose(near, random)).isZero();
            assertThat(policy.choose(nearIsFull, random)).isEqualTo(1);
        }
    }

    /** Guards against avoiding a server forever because of an old report that it was full. */
    @Test
    void oldReportDecays() {
        LoadEstimator estimator = new LoadEstimator();
        estimator.recordReport(member(0).id(), new GateLoad(90, SLOTS_PER_SERVER, 200), 0, 0);
        assertThat(estimator.expectedMs(member(0).id(), 0, 0)).isGreaterThan(1_000);
        assertThat(estimator.expectedMs(member(0).id(), 0, 2_000 * NANOS_PER_MS))
                .isEqualTo(200);
        assertThat(estimator.expectedMs(member(1).id(), 0, 0)).isZero();
    }
}
