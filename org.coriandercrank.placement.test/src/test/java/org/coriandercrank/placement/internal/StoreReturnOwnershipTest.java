package org.coriandercrank.placement.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.message.HeldRangesReport;
import org.coriandercrank.kernel.message.ReleaseAnswer;
import org.coriandercrank.kernel.message.ReleaseRequest;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.placement.PlacedRange;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.RangeAssignment;
import org.coriandercrank.placement.TestFleet;
import org.junit.jupiter.api.Test;

/**
 * Guards against fences that are given out twice, and against two owners of a range, after the store returned from an
 * older copy of itself.
 */
final class StoreReturnOwnershipTest {
    private static final MemberId A = new MemberId("a");
    private static final MemberId B = new MemberId("b");
    private static final MemberId C = new MemberId("c");
    private static final Era FIRST = new Era(1);
    private static final Era SECOND = new Era(2);
    private static final Generation OLD =
            new Generation(Generation.NONE.next(FIRST).value() + 6);
    private static final KeyRange LOW = new KeyRange(KeyHash.MIN, new KeyHash(99));
    private static final KeyRange HIGH = new KeyRange(new KeyHash(100), KeyHash.MAX);

    private final OwnershipState state = new OwnershipState(
            A,
            TestFleet.SERVICE,
            /* minRetryDelayMs= */ 1,
            /* maxRetryDelayMs= */ 4,
            /* releaseGraceMs= */ 0,
            /* maxRetainedRecords= */ 100);

    @Test
    void nothingIsAcquiredUnderATableOfAnEarlierEra() {
        state.observeEra(SECOND);
        state.applyTable(table(OLD, new RangeAssignment(KeyRange.ALL, A, OLD, List.of())));
        assertThat(poll()).isEmpty();

        Generation recovered = OLD.next(SECOND);
        state.applyTable(table(recovered, new RangeAssignment(KeyRange.ALL, A, recovered, List.of())));
        assertThat(poll()).hasSize(1).allMatch(OwnershipAction.Acquire.class::isInstance);
    }

    @Test
    void rangesThatAreServedStayServedAndAreNotHandedOverForAnEarlierEra() {
        serveAll();
        state.observeEra(SECOND);
        Generation lost = new Generation(OLD.value() + 1);
        state.applyTable(table(lost, new RangeAssignment(KeyRange.ALL, B, lost, List.of(A))));

        assertThat(poll()).isEmpty();
        assertThat(state.servedRanges()).containsExactly(new HeldRangesReport.Held(KeyRange.ALL, OLD));
        assertThat(state.handleReleaseRequest(new ReleaseRequest(B, TestFleet.SERVICE, KeyRange.ALL, lost), 0))
                .contains(ReleaseAnswer.notReleased());
    }

    @Test
    void acquireThatWasNotConfirmedIsGivenUpInANewEra() {
        state.applyTable(table(OLD, new RangeAssignment(KeyRange.ALL, A, OLD, List.of())));
        OwnershipAction.Acquire acquire = (OwnershipAction.Acquire) poll().get(0);
        state.acquireFailed(acquire, 0);
        state.observeEra(SECOND);

        assertThat(poll()).containsExactly(new OwnershipAction.Release(KeyRange.ALL));
        assertThat(state.isQuiescent()).isFalse();
        state.releaseCompleted(new OwnershipAction.Release(KeyRange.ALL), TransferredRecords.NONE, 0);
        assertThat(state.isQuiescent()).isTrue();
        assertThat(poll()).isEmpty();
    }

    @Test
    void recoveryTableKeepsReportedRangesAndMakesTheOthersWaitForSilentMembers() {
        AssignmentTable older = table(OLD, new RangeAssignment(KeyRange.ALL, A, OLD, List.of()));
        Generation lostFence = new Generation(OLD.value() + 4);
        RecoveryTable.Input input = new RecoveryTable.Input(
                older,
                SECOND,
                Map.of(A, report(A), B, report(B, new HeldRangesReport.Held(LOW, lostFence))),
                Set.of(C),
                owner -> Optional.empty());
        AssignmentTable table = RecoveryTable.build(input, List.of(new PlacedRange(KeyRange.ALL, B, "test")))
                .table();

        Generation fence = OLD.next(SECOND);
        assertThat(table.generation()).isEqualTo(fence);
        assertThat(table.assignments())
                .containsExactly(
                        new RangeAssignment(LOW, B, lostFence, List.of()),
                        new RangeAssignment(HIGH, A, fence, List.of(C)));
    }

    @Test
    void recoveryWithoutAnyTableHasFencesAboveThoseOfEarlierEras() {
        RecoveryTable.Input input = new RecoveryTable.Input(
                AssignmentTable.empty(TestFleet.SERVICE),
                SECOND,
                Map.of(A, report(A)),
                Set.of(),
                owner -> Optional.empty());
        AssignmentTable table = RecoveryTable.build(input, List.of(new PlacedRange(KeyRange.ALL, A, "test")))
                .table();
        assertThat(table.assignments()).hasSize(1);
        assertThat(table.assignments().get(0).fence().isNewerThan(OLD)).isTrue();
        assertThat(table.generation().era()).isEqualTo(SECOND);
    }

    private void serveAll() {
        state.applyTable(table(OLD, new RangeAssignment(KeyRange.ALL, A, OLD, List.of())));
        state.acquireCompleted((OwnershipAction.Acquire) poll().get(0));
    }

    private List<OwnershipAction> poll() {
        return state.poll(1_000, member -> false);
    }

    private static AssignmentTable table(Generation generation, RangeAssignment... assignments) {
        return new AssignmentTable(TestFleet.SERVICE, generation, List.of(assignments));
    }

    private static HeldRangesReport report(MemberId member, HeldRangesReport.Held... held) {
        return new HeldRangesReport(member, TestFleet.SERVICE, SECOND, true, List.of(held));
    }
}
