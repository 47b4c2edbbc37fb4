package org.coriandercrank.placement.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.message.ReleaseAnswer;
import org.coriandercrank.kernel.message.ReleaseRequest;
import org.coriandercrank.kernel.ownership.TransferredRecords;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.RangeAssignment;
import org.coriandercrank.placement.TestFleet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the ownership of ranges under faults. */
final class OwnershipStateTest {
    private static final MemberId A = new MemberId("a");
    private static final MemberId B = new MemberId("b");
    private static final MemberId C = new MemberId("c");
    private static final KeyRange LOW = new KeyRange(KeyHash.MIN, new KeyHash(99));
    private static final KeyRange HIGH = new KeyRange(new KeyHash(100), KeyHash.MAX);
    private static final long COMPLETE_FOR_MS = 5_000;

    private final OwnershipState state = new OwnershipState(
            A,
            TestFleet.SERVICE,
            /* minRetryDelayMs= */ 1,
            /* maxRetryDelayMs= */ 4,
            /* releaseGraceMs= */ 0,
            /* maxRetainedRecords= */ 100);

    private static AssignmentTable table(long generation, RangeAssignment... assignments) {
        return new AssignmentTable(TestFleet.SERVICE, new Generation(generation), List.of(assignments));
    }

    private static RangeAssignment assignment(KeyRange range, MemberId owner, long fence, MemberId... previousOwners) {
        return new RangeAssignment(range, owner, new Generation(fence), List.of(previousOwners));
    }

    private static ReleaseRequest request(MemberId requester, KeyRange range, long generation) {
        return new ReleaseRequest(requester, TestFleet.SERVICE, range, new Generation(generation));
    }

    private List<OwnershipAction> poll(MemberId... sealed) {
        return state.poll(1_000, Set.of(sealed)::contains);
    }

    private void serveWholeSpaceUnderGenerationOne() {
        state.applyTable(table(1, assignment(KeyRange.ALL, A, 1)));
        OwnershipAction.Acquire acquire = (OwnershipAction.Acquire) poll().get(0);
        assertThat(acquire.transferred()).isEqualTo(TransferredRecords.NEVER_OWNED);
        state.acquireCompleted(acquire);
    }

    private void completeRelease(KeyRange range) {
        assertThat(poll()).containsExactly(new OwnershipAction.Release(range));
        state.releaseCompleted(
                new OwnershipAction.Release(range), new TransferredRecords(COMPLETE_FOR_MS, List.of()), 1_000);
    }

    /**
     * Guards against an old table that makes a daemon acquire a range again after it released the range to a newer
     * owner.
     */
    @Test
    void doesNotReacquireBeforeTableReachesRequestGeneration() {
        serveWholeSpaceUnderGenerationOne();
        assertThat(state.handleReleaseRequest(request(B, KeyRange.ALL, 5), 1_000))
                .isEmpty();
        completeRelease(KeyRange.ALL);
        assertThat(state.handleReleaseRequest(request(B, KeyRange.ALL, 5), 1_000))
                .isPresent();
        state.applyTable(table(4, assignment(KeyRange.ALL, A, 4)));
        assertThat(poll()).isEmpty();
        state.applyTable(table(6, assignment(KeyRange.ALL, A, 6, B)));
        assertThat(poll()).containsExactly(new OwnershipAction.RequestRelease(KeyRange.ALL, new Generation(6), B));
    }

    /**
     * Guards against a daemon that acquires a range on the basis of an old table after it answered a newer release
     * request for the range, which it had never served.
     */
    @Test
    void doesNotAcquireUnservedRangeAfterAnsweringRequest() {
        assertThat(state.handleReleaseRequest(request(B, LOW, 5), 1_000)
                        .orElseThrow()
                        .recordsCompleteForMs())
                .isEqualTo(ReleaseAnswer.NOT_SERVED);
        state.applyTable(table(3, assignment(KeyRange.ALL, A, 3)));
        assertThat(poll()).singleElement().extracting("range").isEqualTo(HIGH);
    }

    /** Guards against a stale release request that takes a range from its newer owner. */
    @Test
    void refusesStaleReleaseRequest() {
        serveWholeSpaceUnderGenerationOne();
        state.applyTable(table(7, assignment(KeyRange.ALL, A, 7)));
        assertThat(state.handleReleaseRequest(request(B, LOW, 5), 1_000)).contains(ReleaseAnswer.notReleased());
        assertThat(poll()).isEmpty();
    }

    /** Guards against an interruption of the remaining part when a range is split. */
    @Test
    void releasesOnlyMovedPartOfSplitRange() {
        serveWholeSpaceUnderGenerationOne();
        state.applyTable(table(2, assignment(LOW, A, 1), assignment(HIGH, B, 2, A)));
        assertThat(state.appliedGeneration()).isEqualTo(Generation.NONE);
        completeRelease(HIGH);
        assertThat(state.appliedGeneration()).isEqualTo(new Generation(2));
        assertThat(poll()).isEmpty();
    }

    /**
     * Guards against a second acquire while the first runs, and against serving a range that moved during the acquire.
     */
    @Test
    void releasesRangeMovedDuringAcquire() {
        state.applyTable(table(1, assignment(KeyRange.ALL, A, 1)));
        OwnershipAction.Acquire acquire = (OwnershipAction.Acquire) poll().get(0);
        state.applyTable(table(2, assignment(KeyRange.ALL, B, 2, A)));
        assertThat(poll()).isEmpty();
        assertThat(state.handleReleaseRequest(request(B, KeyRange.ALL, 2), 1_000))
                .isEmpty();
        state.acquireCompleted(acquire);
        assertThat(poll()).containsExactly(new OwnershipAction.Release(KeyRange.ALL));
    }

    /** Guards against a sealed daemon that goes on serving ranges or acquires new ones. */
    @Test
    void releasesAllRangesWhenSealed() {
        serveWholeSpaceUnderGenerationOne();
        state.seal();
        completeRelease(KeyRange.ALL);
        state.applyTable(table(2, assignment(KeyRange.ALL, A, 2)));
        assertThat(poll()).isEmpty();
    }

    /**
     * Guards against records that count as complete although another member may have served the range since the
     * handover.
     */
    @ParameterizedTest
    @CsvSource({
        "complete for the first requester,             b, 5, 5100",
        "not complete for another requester,           c, 6, -1",
        "not complete for a later generation,          b, 8, -1",
    })
    void recordsAreCompleteForFirstRecipientOnly(String label, String requester, long generation, long completeForMs) {
        serveWholeSpaceUnderGenerationOne();
        assertThat(state.handleReleaseRequest(request(B, KeyRange.ALL, 5), 1_000))
                .isEmpty();
        completeRelease(KeyRange.ALL);
        assertThat(state.handleReleaseRequest(request(B, KeyRange.ALL, 5), 1_050))
                .isPresent();
        Optional<ReleaseAnswer> answer =
                state.handleReleaseRequest(request(new MemberId(requester), KeyRange.ALL, generation), 1_100);
        assertThat(answer.orElseThrow().recordsCompleteForMs()).as(label).isEqualTo(completeForMs);
    }

    /** Guards against a second execution of a request whose record was lost with a sealed owner. */
    @ParameterizedTest
    @CsvSource({
        "both answered; one served,     3000, -1,   false, 3000",
        "the shorter of two periods,    3000, 2000, false, 2000",
        "none served the range,         -1,   -1,   false, 0",
        "one is sealed,                 3000, 0,    true,  0",
    })
    void combinesAnswersOfPreviousOwners(String label, long fromB, long fromC, boolean sealedC, long expectedMs) {
        state.applyTable(table(4, assignment(KeyRange.ALL, A, 4, B, C)));
        poll();
        OwnershipAction.RequestRelease requestToB =
                new OwnershipAction.RequestRelease(KeyRange.ALL, new Generation(4), B);
        OwnershipAction.RequestRelease requestToC =
                new OwnershipAction.RequestRelease(KeyRange.ALL, new Generation(4), C);
        state.releaseRequestAnswered(requestToB, new ReleaseAnswer(true, fromB, List.of()), 1_000);
        assertThat(poll()).isEmpty();
        if (!sealedC) {
            state.releaseRequestAnswered(requestToC, new ReleaseAnswer(true, fromC, List.of()), 1_000);
        }
        List<OwnershipAction> actions = sealedC ? poll(C) : poll();
        assertThat(actions)
                .as(label)
                .containsExactly(new OwnershipAction.Acquire(
                        KeyRange.ALL, new Generation(4), new TransferredRecords(expectedMs, List.of())));
    }

    /**
     * Guards against a daemon that does not respond for seconds while it releases many narrow ranges. This happened
     * when one of the last four servers left: about a hundred ranges were requested with one release request each, and
     * every event evaluated every waiting request again.
     */
    @Test
    @Timeout(value = 20, unit = TimeUnit.SECONDS)
    void releasesManyNarrowRangesInTime() {
        int ranges = 400;
        long width = Long.divideUnsigned(-1L, ranges);
        List<RangeAssignment> before = new ArrayList<>();
        List<RangeAssignment> after = new ArrayList<>();
        for (int i = 0; i < ranges; i++) {
            KeyHash last = i == ranges - 1 ? KeyHash.MAX : new KeyHash((i + 1) * width - 1);
            KeyRange range = new KeyRange(new KeyHash(i * width), last);
            before.add(new RangeAssignment(range, A, new Generation(1), List.of()));
            after.add(new RangeAssignment(range, B, new Generation(2), List.of(A)));
        }
        OwnershipState state = new OwnershipState(
                A,
                TestFleet.SERVICE,
                /* minRetryDelayMs= */ 10,
                /* maxRetryDelayMs= */ 500,
                /* releaseGraceMs= */ 500,
                /* maxRetainedRecords= */ 1_000);
        state.applyTable(new AssignmentTable(TestFleet.SERVICE, new Generation(1), before));
        performActions(state, 0);
        List<ReleaseRequest> requests = after.stream()
                .map(a -> new ReleaseRequest(B, TestFleet.SERVICE, a.range(), new Generation(2)))
                .toList();
        int answered = 0;
        for (int round = 0; round < 20 && answered < ranges; round++) {
            answered = 0;
            for (ReleaseRequest request : requests) {
                answered += state.handleReleaseRequest(request, round)
                                .filter(ReleaseAnswer::released)
                                .isPresent()
                        ? 1
                        : 0;
            }
            performActions(state, round);
        }
        assertThat(answered).isEqualTo(ranges);
    }

    private static void performActions(OwnershipState state, long nowMs) {
        for (OwnershipAction action : state.poll(nowMs, member -> false)) {
            if (action instanceof OwnershipAction.Acquire acquire) {
                state.acquireCompleted(acquire);
            } else if (action instanceof OwnershipAction.Release release) {
                state.releaseCompleted(release, TransferredRecords.NONE, nowMs);
            }
        }
    }
}
