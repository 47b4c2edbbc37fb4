package org.coriandercrank.scheduling.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.coriandercrank.kernel.placement.BalancingCandidate;
import org.coriandercrank.kernel.placement.ReportedLoad;
import org.coriandercrank.scheduling.balancing.BalancingReplay.Method;
import org.coriandercrank.scheduling.balancing.BalancingReplay.Result;
import org.coriandercrank.scheduling.balancing.BalancingReplay.View;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against load that follows missing or wrong reports to one server, and against servers that get none for good. */
class SpreadFailureTest {
    private static final double FAULT_FROM_MS = 10_000;

    /** Share of the server with the most capacity is 0.064. */
    private static final double MAX_SHARE = 0.25;

    private final Random random = new Random(3);

    private static View from(View fault) {
        return (chooser, server, nowMs, actual) ->
                nowMs < FAULT_FROM_MS ? actual : fault.see(chooser, server, nowMs, actual);
    }

    private static View falseReport(int concurrency, int pending, double serviceMs) {
        return from((chooser, server, nowMs, actual) ->
                server == 0 ? new ReportedLoad(0, pending, concurrency, serviceMs) : actual);
    }

    static Stream<Arguments> faults() {
        ReportedLoad[] older = new ReportedLoad[BalancingReplay.SERVERS];
        View outOfOrder = (chooser, server, nowMs, actual) -> {
            ReportedLoad previous = older[server];
            if (previous == null || nowMs % 700 < 100) {
                older[server] = actual;
            }
            boolean late = previous != null && (int) (nowMs / 100) % 2 == 0;
            return late
                    ? new ReportedLoad(0, previous.othersPending(), previous.concurrency(), previous.serviceMs())
                    : actual;
        };
        View restarts = (chooser, server, nowMs, actual) -> (int) (nowMs / 1_000) % BalancingReplay.SERVERS == server
                ? new ReportedLoad(0, 0, BalancingReplay.SLOTS, 0)
                : actual;
        View stop = (chooser, server, nowMs, actual) -> new ReportedLoad(
                nowMs - FAULT_FROM_MS + actual.ageMs(), server, BalancingReplay.SLOTS, actual.serviceMs());
        View isolated = (chooser, server, nowMs, actual) -> chooser % 2 == 0 ? ReportedLoad.NONE : actual;
        return Stream.of(
                Arguments.of("reports stop", from(stop)),
                Arguments.of("no reports at all", from((c, server, nowMs, actual) -> ReportedLoad.NONE)),
                Arguments.of("claims endless capacity", falseReport(Integer.MAX_VALUE, 0, 1e-9)),
                Arguments.of("claims negative load", falseReport(4, Integer.MIN_VALUE, -1)),
                Arguments.of("claims endless load", falseReport(1, Integer.MAX_VALUE, Double.POSITIVE_INFINITY)),
                Arguments.of("no number as time", falseReport(4, 0, Double.NaN)),
                Arguments.of("out of order", from(outOfOrder)),
                Arguments.of("restarts", from(restarts)),
                Arguments.of("half of the choosers isolated", from(isolated)));
    }

    /** Guards against a choice that depends on one report, and against arithmetic that fails on false ones. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void noServerGetsMostRequests(String name, View view) {
        Result random = replay(Method.RANDOM, view);
        Result result = replay(Method.SPREAD, view);
        System.out.printf(
                "%s: largest share %.3f, refused first %d (random %d), at last %d (random %d), wait p99 %.0f ms%n",
                name,
                result.largestShare(),
                result.firstRefused(),
                random.firstRefused(),
                result.refused(),
                random.refused(),
                result.waitP99Ms());
        assertThat(result.largestShare()).isLessThan(MAX_SHARE);
    }

    private static Result replay(Method method, View view) {
        return new BalancingReplay(94, 500, method, new SpreadPolicy(), view, 11).run();
    }

    private static BalancingCandidate candidate(int number, boolean near, double penaltyMs, ReportedLoad report) {
        return new BalancingCandidate(BalancingReplay.member(number), 0, near, near, 100, 0, penaltyMs, report);
    }

    /** A cold server states a low concurrency through its gate; it must not get the share of a warm one. */
    @Test
    void coldServerGetsFewRequests() {
        List<BalancingCandidate> candidates = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            candidates.add(candidate(i, true, 0, new ReportedLoad(500, i == 0 ? 0 : 8, i == 0 ? 1 : 13, 200)));
        }
        double[] shares = SpreadPolicy.shares(candidates);
        assertThat(shares[0]).isLessThan(shares[1] / 4);
    }

    /** Another region costs 20 ms each way and billed bytes; it is used only if the own one is clearly slower. */
    @Test
    void otherRegionIsUsedOnlyIfTheOwnIsFull() {
        List<BalancingCandidate> ownIsFree = List.of(
                candidate(0, true, 0, new ReportedLoad(100, 5, 10, 100)),
                candidate(1, false, 0, new ReportedLoad(100, 0, 10, 100)));
        List<BalancingCandidate> ownIsFull = List.of(
                candidate(0, true, 0, new ReportedLoad(100, 40, 10, 100)),
                candidate(1, false, 0, new ReportedLoad(100, 0, 10, 100)));
        assertThat(SpreadPolicy.shares(ownIsFree)[1]).isZero();
        assertThat(SpreadPolicy.shares(ownIsFull)[1]).isGreaterThan(0.5);
    }

    /** Guards against ignoring the penalty of a server whose capacity is kept for other requests. */
    @Test
    void penaltyMovesRequestsAway() {
        ReportedLoad report = new ReportedLoad(100, 2, 10, 100);
        double[] shares = SpreadPolicy.shares(List.of(candidate(0, true, 0, report), candidate(1, true, 60, report)));
        assertThat(shares[1]).isLessThan(shares[0] / 2);
    }

    /** Guards against avoiding a server for good that was slow once, and against sending many requests to a slow one. */
    @Test
    void serverThatWasSlowIsTriedAgain() {
        assertThat(requestsToSlowServer(60_000, 1_000)).isBetween(1, 6);
        assertThat(requestsToSlowServer(30_000, 200)).isGreaterThan(30);
    }

    /** Sends a request each 100 ms to one of two servers; the second reported 1,000 ms at the start. */
    private int requestsToSlowServer(int durationMs, double serviceMs) {
        SpreadPolicy policy = new SpreadPolicy();
        double[] atMs = {0, 0};
        double[] reportedMs = {200, 1_000};
        int count = 0;
        for (int nowMs = 100; nowMs < durationMs; nowMs += 100) {
            List<BalancingCandidate> candidates = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                candidates.add(candidate(i, true, 0, new ReportedLoad(nowMs - atMs[i], 0, 10, reportedMs[i])));
            }
            int chosen = policy.choose(candidates, random);
            atMs[chosen] = nowMs;
            reportedMs[chosen] = chosen == 0 ? 200 : serviceMs;
            count += chosen;
        }
        return count;
    }

    /**
     * Guards against requests that leave their region while its servers have room, which takes 40 ms and costs bytes
     * between regions: the requests of the other region were taken for requests of the own one.
     */
    @ParameterizedTest
    @CsvSource({"0, 11", "300, 11", "1500, 11", "300, 12"})
    void serversOfTheOwnRegionWithRoomGetItsRequests(double ageMs, int pending) {
        double shareElsewhere = shareElsewhere(ageMs, pending);
        assertThat(shareElsewhere).isLessThan(0.05);
    }

    /** Guards against a region that is left alone although all its servers have a long queue. */
    @Test
    void serversOfAnotherRegionRelieveFullOnes() {
        assertThat(shareElsewhere(20, 40)).isGreaterThan(0.5);
    }

    /** Share of the servers of another region, which are half idle, in the requests of a region. */
    private static double shareElsewhere(double ageMs, int pending) {
        List<BalancingCandidate> candidates = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            boolean own = i < 4;
            ReportedLoad report = new ReportedLoad(ageMs, own ? pending : 6, 13, 150);
            candidates.add(new BalancingCandidate(null, 0, false, own, 100, 150, 0, report));
        }
        double[] shares = SpreadPolicy.shares(candidates);
        return shares[4] + shares[5] + shares[6] + shares[7];
    }
}
