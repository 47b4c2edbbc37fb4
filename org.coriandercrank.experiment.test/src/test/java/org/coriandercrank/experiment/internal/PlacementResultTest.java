package org.coriandercrank.experiment.internal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.experiment.internal.OwnerChange.ObservedTable;
import org.coriandercrank.experiment.internal.ServerLoads.ActivePeriod;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.RangeAssignment;
import org.coriandercrank.load.CallRecord;
import org.coriandercrank.load.Execution;
import org.junit.jupiter.api.Test;

/** Guards against results that hide moves, waiting times of callers or seconds of high imbalance. */
class PlacementResultTest {
    private static final KeyHash QUARTER = new KeyHash(1L << 62);
    private static final KeyHash BELOW_QUARTER = new KeyHash((1L << 62) - 1);
    private static final MemberId A = new MemberId("a-1");
    private static final MemberId B = new MemberId("b-1");

    @Test
    void splitWithoutOwnerChangeIsNoMove() {
        List<OwnerChange> changes = OwnerChange.of(List.of(
                observedTable(1, assignment(KeyHash.MIN, KeyHash.MAX, A, 1)),
                observedTable(
                        2, assignment(KeyHash.MIN, BELOW_QUARTER, A, 1), assignment(QUARTER, KeyHash.MAX, A, 1))));

        assertThat(changes).isEmpty();
    }

    @Test
    void partialMoveCountsWithItsShare() {
        Churn churn = Churn.of(OwnerChange.of(List.of(
                observedTable(1, assignment(KeyHash.MIN, KeyHash.MAX, A, 1)),
                observedTable(
                        2, assignment(KeyHash.MIN, BELOW_QUARTER, B, 2), assignment(QUARTER, KeyHash.MAX, A, 1)))));

        assertThat(churn.moves()).isEqualTo(1);
        assertThat(churn.movedShare()).isCloseTo(0.25, within(1e-9));
    }

    @Test
    void imbalanceCountsEverySecondAndOnlyActiveServers() {
        List<Execution> executions = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            executions.add(execution("a", "s" + i, i, 1));
            executions.add(execution("a", "t" + i, 1_000 + i, 1));
            executions.add(execution("b", "u" + i, 1_000 + i, 1));
        }

        ServerLoads loads = ServerLoads.of(
                0,
                3_000,
                executions,
                Map.of(
                        "a",
                        new ActivePeriod(0, Long.MAX_VALUE),
                        "b",
                        new ActivePeriod(0, Long.MAX_VALUE),
                        "c",
                        new ActivePeriod(5_000, 6_000)));

        assertThat(loads.perSecond()).containsExactly(2.0, 1.0, 0.0);
        assertThat(loads.p95Imbalance()).isEqualTo(2.0);
    }

    @Test
    void inactiveServerCanBeTheBusiest() {
        List<Execution> executions = List.of(execution("a", "1", 10, 1), execution("b", "2", 20, 1));

        ServerLoads loads = ServerLoads.of(
                0, 1_000, executions, Map.of("a", new ActivePeriod(0, Long.MAX_VALUE), "b", new ActivePeriod(-10, 0)));

        assertThat(loads.perSecond()).containsExactly(0.5);
    }

    @Test
    void gapEndsWithTheExecutionOfTheFirstWaitingCall() {
        MoveGaps gaps = new MoveGaps(
                List.of(call("1", 0, 5, true), call("2", 110, 260, true), call("3", 120, 261, true)),
                List.of(execution("a", "1", 1, 1), execution("b", "2", 250, 2), execution("b", "3", 251, 2)));

        assertThat(gaps.plannedMoveGapsMs(List.of(ownerChange(100)))).containsExactly(140.0);
    }

    @Test
    void gapOfAFailedCallEndsWithTheNextExecutionOfTheRange() {
        MoveGaps gaps = new MoveGaps(
                List.of(call("1", 100, 1_100, false), call("2", 2_000, 2_010, true)),
                List.of(execution("b", "2", 2_005, 2)));

        assertThat(gaps.takeoverGapsMs(List.of(ownerChange(1_500)), TimeUnit.MILLISECONDS.toNanos(50)))
                .containsExactly(1_905.0);
    }

    @Test
    void callAfterTheFirstExecutionByTheNewOwnerIsNoGap() {
        MoveGaps gaps = new MoveGaps(
                List.of(call("1", 500, 510, true)),
                List.of(execution("b", "other", 200, 2), execution("b", "1", 505, 2)));

        assertThat(gaps.plannedMoveGapsMs(List.of(ownerChange(100)))).isEmpty();
    }

    @Test
    void percentileIsByNearestRank() {
        assertThat(MoveGaps.percentile(List.of(1.0, 2.0, 3.0, 4.0), 50)).isEqualTo(2.0);
        assertThat(MoveGaps.percentile(List.of(1.0, 2.0, 3.0, 4.0), 99)).isEqualTo(4.0);
        assertThat(MoveGaps.percentile(List.of(), 99)).isZero();
    }

    private static ObservedTable observedTable(long generation, RangeAssignment... ranges) {
        return new ObservedTable(
                0, new AssignmentTable(new ServiceName("desk"), new Generation(generation), List.of(ranges)));
    }

    private static RangeAssignment assignment(KeyHash first, KeyHash last, MemberId owner, long fence) {
        return new RangeAssignment(new KeyRange(first, last), owner, new Generation(fence), List.of());
    }

    private static OwnerChange ownerChange(long observedMs) {
        return new OwnerChange(KeyRange.ALL, A, new Generation(2), TimeUnit.MILLISECONDS.toNanos(observedMs));
    }

    private static Execution execution(String server, String id, long startMs, long fence) {
        long startNanos = TimeUnit.MILLISECONDS.toNanos(startMs);
        return new Execution(server, id, "key", "GET", fence, startNanos, startNanos + 1);
    }

    private static CallRecord call(String id, long intendedMs, long endedMs, boolean succeeded) {
        return new CallRecord(
                1,
                id,
                "desk",
                "key",
                "GET",
                true,
                TimeUnit.MILLISECONDS.toNanos(intendedMs),
                TimeUnit.MILLISECONDS.toNanos(endedMs),
                succeeded ? 0 : 1,
                Optional.of(succeeded ? Outcome.RUN : Outcome.NOT_RUN),
                false);
    }
}
