package org.coriandercrank.daemon.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.coriandercrank.daemon.AssignedRanges;
import org.coriandercrank.daemon.HeartbeatGrants;
import org.coriandercrank.daemon.HeartbeatGrants.Renewal;
import org.coriandercrank.daemon.RowLimit;
import org.coriandercrank.kernel.backend.Grant;
import org.coriandercrank.kernel.backend.Grant.GrantedRange;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.ownership.Handover;
import org.coriandercrank.kernel.table.KeyRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against grants that outlast the lease, and against releases that complete while the server still holds the
 * range.
 */
class HeartbeatGrantsTest {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final KeyRange LOW = range(0, 99);
    private static final KeyRange HIGH = range(100, 199);

    private static final KeyRange UNUSED = range(200, 299);
    private static final long MAX_HOLD_MS = 5_000;

    private final AtomicLong nowNanos = new AtomicLong();
    private final AtomicLong suspendedNanos = new AtomicLong();
    private long nextSequence = 1;
    private final HeartbeatGrants grants = new HeartbeatGrants(
            nowNanos::get,
            () -> nowNanos.get() + suspendedNanos.get(),
            MAX_HOLD_MS,
            RowLimit.ofCount(160),
            AssignedRanges::none);

    private static KeyRange range(long first, long last) {
        return new KeyRange(new KeyHash(first), new KeyHash(last));
    }

    private void startWithoutEarlierGrants() {
        advanceMs(2 * MAX_HOLD_MS);
    }

    private void advanceMs(long ms) {
        nowNanos.addAndGet(ms * NANOS_PER_MS);
    }

    private static Grant grant(long sequence, long validityMs, KeyRange... ranges) {
        return new Grant(
                sequence,
                List.of(ranges).stream()
                        .map(range -> new GrantedRange(range, new Generation(7)))
                        .toList(),
                validityMs);
    }

    private static List<GrantedRange> held(KeyRange... ranges) {
        return List.of(ranges).stream()
                .map(range -> new GrantedRange(range, new Generation(7)))
                .toList();
    }

    /** A restarted daemon has no grant yet; an empty list of rows would make the server give up its ranges. */
    @Test
    void heartbeatBeforeFirstGrantRenewsNothing() {
        assertThat(grants.onHeartbeat(nextSequence++, held(LOW), List.of())).isEmpty();
    }

    @Test
    void validityStartsWhenGrantIsOffered() {
        grants.offer(grant(1, 5_000, LOW));
        nowNanos.set(1_200 * NANOS_PER_MS);
        assertThat(grants.onHeartbeat(nextSequence++, held(), List.of()))
                .map(Renewal::validityMs)
                .contains(3_800L);
        nowNanos.set(5_000 * NANOS_PER_MS);
        assertThat(grants.onHeartbeat(nextSequence++, held(LOW), List.of())).isEmpty();
    }

    /** The gate hands a range over once a grant without it is acknowledged, so the server must have released it. */
    @Test
    void grantIsAcknowledgedOnlyWhenServerHoldsNoOtherRange() {
        CompletableFuture<Long> acknowledgementOfBoth = grants.offer(grant(1, 5_000, LOW, HIGH));
        grants.onHeartbeat(nextSequence++, held(), List.of());
        assertThat(acknowledgementOfBoth).isCompletedWithValue(1L);

        CompletableFuture<Long> acknowledgementOfLow = grants.offer(grant(2, 5_000, LOW));
        assertThat(grants.onHeartbeat(nextSequence++, held(LOW, HIGH), List.of()))
                .isPresent();
        assertThat(acknowledgementOfLow).isNotDone();
        grants.onHeartbeat(nextSequence++, held(LOW), List.of(new Handover(HIGH, "t1")));
        assertThat(acknowledgementOfLow).isCompletedWithValue(2L);
    }

    /** A row that the server reports may span several ranges that were granted separately. */
    @Test
    void rowAcrossGrantedRangesIsGranted() {
        CompletableFuture<Long> acknowledgement = grants.offer(grant(1, 5_000, LOW, HIGH));
        grants.onHeartbeat(nextSequence++, held(range(50, 150)), List.of());
        assertThat(acknowledgement).isCompleted();
    }

    @Test
    void revocationOfAllRangesIsDeliveredWithoutLease() {
        grants.offer(grant(1, 0));
        nowNanos.set(9_000 * NANOS_PER_MS);
        assertThat(grants.onHeartbeat(nextSequence++, held(LOW), List.of())).contains(new Renewal(List.of(), 0));
    }

    @Test
    void newestHandoverIsReturnedOnce() {
        grants.onHeartbeat(nextSequence++, held(), List.of(new Handover(LOW, "t1"), new Handover(HIGH, "t2")));
        grants.onHeartbeat(nextSequence++, held(), List.of(new Handover(LOW, "t3")));
        assertThat(grants.takeHandovers(LOW)).containsExactly(new Handover(LOW, "t3"));
        assertThat(grants.takeHandovers(LOW)).isEmpty();
        assertThat(grants.takeHandovers(HIGH)).containsExactly(new Handover(HIGH, "t2"));
    }

    @Test
    void newerGrantFailsPreviousOne() {
        CompletableFuture<Long> previous = grants.offer(grant(1, 5_000, LOW));
        grants.offer(grant(2, 5_000, LOW));
        assertThat(previous).isCompletedExceptionally();
    }

    /**
     * An earlier process of the daemon may have granted any range, also in a response that the server has not received
     * when it sends its next heartbeat. If the restarted daemon confirmed a release request without a check, two servers
     * could hold the range.
     */
    @Test
    void earlierGrantsMayBeTakenUntilTheyExpire() {
        assertThat(grants.mayHold(LOW)).isTrue();
        nowNanos.set(1_000 * NANOS_PER_MS);
        grants.onHeartbeat(nextSequence++, held(LOW), List.of());
        assertThat(grants.mayHold(LOW)).isTrue();
        assertThat(grants.mayHold(HIGH)).isTrue();
        nowNanos.set(4_999 * NANOS_PER_MS);
        assertThat(grants.mayHold(HIGH)).isTrue();
        nowNanos.set(5_000 * NANOS_PER_MS);
        assertThat(grants.mayHold(HIGH)).isFalse();
        nowNanos.set(5_999 * NANOS_PER_MS);
        assertThat(grants.mayHold(LOW)).isTrue();
        nowNanos.set(6_000 * NANOS_PER_MS);
        assertThat(grants.mayHold(LOW)).isFalse();
    }

    @Test
    void silentServerHoldsNoRangeAfterLongestValidity() {
        nowNanos.set(5_000 * NANOS_PER_MS);
        assertThat(grants.mayHold(LOW)).isFalse();
    }

    /**
     * The server takes a range from a response that overtakes nothing but arrives late, after it sent a heartbeat without
     * the range. If that heartbeat counted as the release of the range, the next owner and this server would hold it.
     */
    @Test
    void heartbeatOlderThanTheResponseThatGrantsARangeDoesNotReleaseIt() {
        startWithoutEarlierGrants();
        grants.offer(grant(1, 3_000, LOW, HIGH));
        grants.onHeartbeat(nextSequence++, held(), List.of());
        grants.offer(grant(2, 3_000, LOW));
        grants.onHeartbeat(nextSequence++, held(), List.of());
        assertThat(grants.mayHold(HIGH)).isTrue();
        advanceMs(2_999);
        grants.onHeartbeat(nextSequence++, held(), List.of());
        assertThat(grants.mayHold(HIGH)).isTrue();
        advanceMs(1);
        assertThat(grants.mayHold(HIGH)).isFalse();
    }

    /** A planned move must not wait for the end of the validity. */
    @Test
    void rangeIsReleasedAtOnceWhenTheServerListsIt() {
        startWithoutEarlierGrants();
        grants.offer(grant(1, 3_000, LOW, HIGH));
        grants.onHeartbeat(nextSequence++, held(), List.of());
        grants.onHeartbeat(nextSequence++, held(LOW, HIGH), List.of());
        grants.offer(grant(2, 3_000, LOW));
        grants.onHeartbeat(nextSequence++, held(LOW, HIGH), List.of());
        assertThat(grants.mayHold(HIGH)).isTrue();
        grants.onHeartbeat(nextSequence++, held(LOW), List.of(new Handover(HIGH, "t1")));
        assertThat(grants.mayHold(HIGH)).isFalse();
        assertThat(grants.mayHold(LOW)).isTrue();
    }

    /**
     * A range is granted, withdrawn and granted again under the same fencing token before the server has handled any of
     * these responses. The release that follows the first withdrawal does not prove that the second grant was handled.
     */
    @Test
    void releaseAfterAnEarlierWithdrawalDoesNotSettleALaterGrant() {
        startWithoutEarlierGrants();
        grants.offer(grant(1, 3_000, LOW, HIGH));
        grants.onHeartbeat(nextSequence++, held(), List.of());
        grants.onHeartbeat(nextSequence++, held(LOW, HIGH), List.of());
        grants.offer(grant(2, 3_000, LOW));
        grants.onHeartbeat(nextSequence++, held(LOW, HIGH), List.of());
        grants.offer(grant(3, 3_000, LOW, HIGH));
        grants.onHeartbeat(nextSequence++, held(LOW, HIGH), List.of());
        grants.offer(grant(4, 3_000, LOW));
        grants.onHeartbeat(nextSequence++, held(LOW, HIGH), List.of());
        grants.onHeartbeat(nextSequence++, held(LOW), List.of(new Handover(HIGH, "t1")));
        assertThat(grants.mayHold(HIGH)).isTrue();
    }

    /** A release is listed until the heartbeat that lists it is acknowledged, and may be older than a later grant. */
    @Test
    void releaseThatWasListedBeforeProvesNothing() {
        startWithoutEarlierGrants();
        grants.offer(grant(1, 3_000, LOW, HIGH));
        grants.onHeartbeat(nextSequence++, held(), List.of(new Handover(HIGH, "t0")));
        grants.onHeartbeat(nextSequence++, held(LOW, HIGH), List.of(new Handover(HIGH, "t0")));
        grants.offer(grant(2, 3_000, LOW));
        grants.onHeartbeat(nextSequence++, held(LOW, HIGH), List.of(new Handover(HIGH, "t0")));
        grants.onHeartbeat(nextSequence++, held(LOW), List.of(new Handover(HIGH, "t0")));
        assertThat(grants.mayHold(HIGH)).isTrue();
    }

    /** The server ignores the response with the range, because it has handled a later one. */
    @Test
    void rangeOfALaterResponseSettlesEarlierOnes() {
        startWithoutEarlierGrants();
        grants.offer(grant(1, 3_000, LOW));
        grants.onHeartbeat(nextSequence++, held(), List.of());
        grants.offer(grant(2, 3_000, HIGH));
        grants.onHeartbeat(nextSequence++, held(), List.of());
        assertThat(grants.mayHold(LOW)).isTrue();
        grants.onHeartbeat(nextSequence++, held(HIGH), List.of());
        assertThat(grants.mayHold(LOW)).isFalse();
        assertThat(grants.mayHold(UNUSED)).isFalse();
    }

    /** The steady clock stops during a suspension of the host; the lease expires, and others get the ranges. */
    @Test
    void validityEndsDuringASuspension() {
        grants.offer(grant(1, 3_000, LOW));
        suspendedNanos.set(2_000 * NANOS_PER_MS);
        assertThat(grants.onHeartbeat(nextSequence++, held(LOW), List.of()))
                .map(Renewal::validityMs)
                .contains(1_000L);
        suspendedNanos.set(3_000 * NANOS_PER_MS);
        assertThat(grants.onHeartbeat(nextSequence++, held(LOW), List.of())).isEmpty();
    }

    /** The clock of the server may stop during a suspension, so the server may hold its ranges for longer. */
    @Test
    void suspensionDoesNotEndWhatTheServerMayHold() {
        startWithoutEarlierGrants();
        grants.offer(grant(1, 3_000, LOW));
        grants.onHeartbeat(nextSequence++, held(), List.of());
        suspendedNanos.set(10_000 * NANOS_PER_MS);
        assertThat(grants.mayHold(LOW)).isTrue();
    }

    @Test
    void outdatedHeartbeatRenewsNothing() {
        grants.offer(grant(1, 5_000, LOW));
        assertThat(grants.onHeartbeat(9, held(), List.of())).isPresent();
        assertThat(grants.onHeartbeat(8, held(), List.of())).isEmpty();
    }

    /**
     * The server takes a range from a late response of the earlier process. That does not prove that it has handled a
     * response of this process, so this process' earlier responses may still be on their way.
     */
    @Test
    void rangeOfAResponseOfTheEarlierProcessSettlesNothing() {
        advanceMs(2_000);
        grants.offer(grant(1, MAX_HOLD_MS, LOW));
        grants.onHeartbeat(nextSequence++, held(), List.of());
        grants.offer(grant(2, MAX_HOLD_MS, HIGH));
        grants.onHeartbeat(nextSequence++, held(), List.of());
        advanceMs(3_100);
        // Sent 0.4 s before, when the grant of the earlier process was valid.
        grants.onHeartbeat(nextSequence++, held(HIGH), List.of());
        assertThat(grants.mayHold(LOW)).isTrue();
    }

    /**
     * The server held the range from the earlier process and releases it because of the first response of this process.
     * That does not prove that it has handled the second one, which grants the range again under the same token.
     */
    @Test
    void releaseOfARangeOfTheEarlierProcessDoesNotSettleALaterGrant() {
        advanceMs(4_500);
        grants.offer(grant(1, MAX_HOLD_MS, LOW));
        grants.onHeartbeat(nextSequence++, held(HIGH), List.of());
        grants.offer(grant(2, MAX_HOLD_MS, LOW, HIGH));
        grants.onHeartbeat(nextSequence++, held(HIGH), List.of());
        grants.offer(grant(3, MAX_HOLD_MS, LOW));
        grants.onHeartbeat(nextSequence++, held(HIGH), List.of());
        advanceMs(600);
        // Sent 0.4 s before, when the grant of the earlier process was valid.
        grants.onHeartbeat(nextSequence++, held(), List.of(new Handover(HIGH, "t1")));
        assertThat(grants.mayHold(HIGH)).isTrue();
    }

    /** Two ranges of one table are acquired one after the other, then moved; the release must not wait for validity. */
    @Test
    void releaseOfRangesThatWereGrantedOneAfterTheOtherIsImmediate() {
        startWithoutEarlierGrants();
        grants.offer(grant(1, 3_000, LOW));
        grants.onHeartbeat(nextSequence++, held(), List.of());
        grants.offer(grant(2, 3_000, LOW, HIGH));
        grants.onHeartbeat(nextSequence++, held(LOW), List.of());
        grants.onHeartbeat(nextSequence++, held(range(0, 199)), List.of());
        grants.offer(grant(3, 3_000, UNUSED));
        grants.onHeartbeat(nextSequence++, held(range(0, 199)), List.of());
        grants.onHeartbeat(nextSequence++, held(), List.of(new Handover(range(0, 199), "t1")));
        assertThat(grants.mayHold(HIGH)).isFalse();
    }
}
