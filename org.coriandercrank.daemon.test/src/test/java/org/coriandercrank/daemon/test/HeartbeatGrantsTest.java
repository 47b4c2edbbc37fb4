package org.coriandercrank.daemon.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.coriandercrank.daemon.HeartbeatGrants;
import org.coriandercrank.daemon.HeartbeatGrants.Renewal;
import org.coriandercrank.kernel.backend.Grant;
import org.coriandercrank.kernel.backend.Grant.GrantedRange;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.ownership.Handover;
import org.coriandercrank.kernel.table.KeyRange;
import org.junit.jupiter.api.Test;

/** Guards grants against outlasting the lease and releases against completing while the server still holds a range. */
class HeartbeatGrantsTest {
    private static final long MS = 1_000_000;
    private static final KeyRange LOW = range(0, 99);
    private static final KeyRange HIGH = range(100, 199);

    private final AtomicLong nowNanos = new AtomicLong();
    private long next = 1;
    private final HeartbeatGrants grants = new HeartbeatGrants(nowNanos::get, 5_000, 160);

    private static KeyRange range(long first, long last) {
        return new KeyRange(new KeyHash(first), new KeyHash(last));
    }

    private static Grant grant(long sequence, long validityMs, KeyRange... ranges) {
        return new Grant(
                sequence,
                List.of(ranges).stream()
                        .map(r -> new GrantedRange(r, new Generation(7)))
                        .toList(),
                validityMs);
    }

    private static List<GrantedRange> held(KeyRange... ranges) {
        return List.of(ranges).stream()
                .map(range -> new GrantedRange(range, new Generation(7)))
                .toList();
    }

    /** A restarted daemon knows nothing yet; an empty list would make the server drop what it holds. */
    @Test
    void heartbeatBeforeTheFirstGrantRenewsNothing() {
        assertThat(grants.onHeartbeat(next++, held(LOW), List.of())).isEmpty();
    }

    @Test
    void validityCountsFromTheOffer() {
        grants.offer(grant(1, 5_000, LOW));
        nowNanos.set(1_200 * MS);
        assertThat(grants.onHeartbeat(next++, held(), List.of()))
                .map(Renewal::validityMs)
                .contains(3_800L);
        nowNanos.set(5_000 * MS);
        assertThat(grants.onHeartbeat(next++, held(LOW), List.of())).isEmpty();
    }

    /** The gate may hand a range on once its grant is acknowledged, so the server must have released it. */
    @Test
    void grantIsAcknowledgedOnlyWhenTheServerHoldsNothingElse() {
        CompletableFuture<Long> both = grants.offer(grant(1, 5_000, LOW, HIGH));
        grants.onHeartbeat(next++, held(), List.of());
        assertThat(both).isCompletedWithValue(1L);

        CompletableFuture<Long> lowOnly = grants.offer(grant(2, 5_000, LOW));
        assertThat(grants.onHeartbeat(next++, held(LOW, HIGH), List.of())).isPresent();
        assertThat(lowOnly).isNotDone();
        grants.onHeartbeat(next++, held(LOW), List.of(new Handover(HIGH, "t1")));
        assertThat(lowOnly).isCompletedWithValue(2L);
    }

    /** A row of the server may span ranges of the table that were granted apart. */
    @Test
    void rowOverSeveralGrantedRangesCountsAsGranted() {
        CompletableFuture<Long> both = grants.offer(grant(1, 5_000, LOW, HIGH));
        grants.onHeartbeat(next++, held(range(50, 150)), List.of());
        assertThat(both).isCompleted();
    }

    @Test
    void revocationOfEverythingIsDeliveredWithoutALease() {
        grants.offer(grant(1, 0));
        nowNanos.set(9_000 * MS);
        assertThat(grants.onHeartbeat(next++, held(LOW), List.of())).contains(new Renewal(List.of(), 0));
    }

    @Test
    void handoverIsTakenOnceAndTheNewestCounts() {
        grants.onHeartbeat(next++, held(), List.of(new Handover(LOW, "t1"), new Handover(HIGH, "t2")));
        grants.onHeartbeat(next++, held(), List.of(new Handover(LOW, "t3")));
        assertThat(grants.takeHandovers(LOW)).containsExactly(new Handover(LOW, "t3"));
        assertThat(grants.takeHandovers(LOW)).isEmpty();
        assertThat(grants.takeHandovers(HIGH)).containsExactly(new Handover(HIGH, "t2"));
    }

    @Test
    void newerGrantEndsTheWaitForTheOneBefore() {
        CompletableFuture<Long> first = grants.offer(grant(1, 5_000, LOW));
        grants.offer(grant(2, 5_000, LOW));
        assertThat(first).isCompletedExceptionally();
    }

    /**
     * The former process of the daemon may have granted any range. A restarted daemon that answers a release request
     * without looking would let two servers hold the range.
     */
    @Test
    void leftGrantsCountUntilAHeartbeatOrTheirEnd() {
        assertThat(grants.mayHold(LOW)).isTrue();
        nowNanos.set(1_000 * MS);
        grants.onHeartbeat(next++, held(LOW), List.of());
        assertThat(grants.mayHold(LOW)).isTrue();
        assertThat(grants.mayHold(HIGH)).isFalse();
        nowNanos.set(5_999 * MS);
        assertThat(grants.mayHold(LOW)).isTrue();
        nowNanos.set(6_000 * MS);
        assertThat(grants.mayHold(LOW)).isFalse();
    }

    @Test
    void silentServerHoldsNothingAfterTheLongestValidity() {
        nowNanos.set(5_000 * MS);
        assertThat(grants.mayHold(LOW)).isFalse();
    }

    @Test
    void overtakenHeartbeatRenewsNothing() {
        grants.offer(grant(1, 5_000, LOW));
        assertThat(grants.onHeartbeat(9, held(), List.of())).isPresent();
        assertThat(grants.onHeartbeat(8, held(), List.of())).isEmpty();
    }
}
