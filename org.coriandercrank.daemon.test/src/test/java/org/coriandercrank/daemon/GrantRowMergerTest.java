package org.coriandercrank.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import org.coriandercrank.kernel.backend.Grant.GrantedRange;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.table.KeyRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against rows with a fencing token older than one that the server has seen on a key of the row. The server
 * rejects such a row and every request for its keys, and the token stays the same until the assignment table changes.
 */
class GrantRowMergerTest {
    private static final int MAX_ROWS = 160;

    private static GrantRowMerger merger(int maxRows) {
        return new GrantRowMerger(RowLimit.ofCount(maxRows), AssignedRanges::none);
    }

    /** Returns a merger for a member to which the table of a generation assigns some ranges. */
    private static GrantRowMerger merger(int maxRows, long generation, KeyRange... assigned) {
        AssignedRanges assignedRanges = new AssignedRanges(new Generation(generation), List.of(assigned));
        return new GrantRowMerger(RowLimit.ofCount(maxRows), () -> assignedRanges);
    }

    private static KeyRange range(long first, long last) {
        return new KeyRange(new KeyHash(first), new KeyHash(last));
    }

    private static GrantedRange row(long first, long last, long fence, String token) {
        return new GrantedRange(range(first, last), new Generation(fence), token);
    }

    private static GrantedRange row(long first, long last, long fence) {
        return row(first, last, fence, "");
    }

    @Test
    void mergesAdjacentRangesWithSameFence() {
        GrantRowMerger merger = merger(MAX_ROWS);
        assertThat(merger.merge(
                        List.of(row(20, 29, 7), row(0, 9, 7), row(10, 19, 7), row(30, 39, 8), row(40, 49, 8, "5c")),
                        List.of()))
                .containsExactly(row(0, 29, 7), row(30, 39, 8), row(40, 49, 8, "5c"));
    }

    @Test
    void mergesAdjacentRangesWithDifferentFencesOnlyAboveTheLimit() {
        GrantRowMerger merger = merger(2, 9, range(0, 29));
        List<GrantedRange> granted = List.of(row(0, 9, 7), row(10, 19, 9), row(20, 29, 8));
        assertThat(merger.merge(granted, List.of())).containsExactly(row(0, 29, 9));
    }

    /**
     * A range that a newer table gives to another member stays granted until that member requests its release. The next
     * owner receives the generation of that table as its token, which must be above every token under which this server
     * had the range.
     */
    @Test
    void rangeThatIsBeingMovedKeepsItsFence() {
        GrantRowMerger merger = merger(1, 9, range(100, 199));
        assertThat(merger.merge(List.of(row(0, 99, 7), row(100, 199, 9)), List.of()))
                .containsExactly(row(0, 99, 7));
        assertThat(merger.leftOutRows()).containsExactly(row(100, 199, 9));
    }

    /** Guards against a failure in which one range of a merged row moved away and the other was rejected for 10 s. */
    @Test
    void remainderOfMergedRowKeepsItsFence() {
        GrantRowMerger merger = merger(1, 9, range(0, 19));
        merger.merge(List.of(row(0, 9, 7), row(10, 19, 9)), List.of());
        assertThat(merger.merge(List.of(row(0, 9, 7)), List.of())).containsExactly(row(0, 9, 9));
        assertThat(merger.merge(List.of(row(0, 9, 7)), List.of())).containsExactly(row(0, 9, 9));
    }

    @Test
    void restartedDaemonKeepsFencesHeldByServer() {
        GrantRowMerger merger = merger(MAX_ROWS);
        assertThat(merger.merge(List.of(row(0, 9, 7)), List.of(row(0, 19, 9)))).containsExactly(row(0, 9, 9));
    }

    /** Heartbeats are processed on the thread that reads callers' requests, which a slow merge would delay. */
    @Test
    void mergeOfManyRangesTakesOnePass() {
        List<GrantedRange> granted = new ArrayList<>();
        for (int i = 0; i < 20_000; i++) {
            granted.add(row(2L * i, 2L * i, i + 1));
        }
        GrantRowMerger merger = merger(MAX_ROWS);
        assertTimeoutPreemptively(Duration.ofSeconds(10), () -> {
            for (int heartbeat = 0; heartbeat < 10; heartbeat++) {
                assertThat(merger.merge(granted, granted)).hasSize(MAX_ROWS);
                assertThat(merger.leftOutRows()).hasSize(20_000 - MAX_ROWS);
            }
        });
    }

    /** A row that was granted is kept, so that the server does not lose keys to others that it has never had. */
    @Test
    void rowsThatWereGrantedBeforeAreKept() {
        GrantRowMerger merger = merger(2);
        merger.merge(List.of(row(20, 29, 7), row(40, 49, 7)), List.of());
        assertThat(merger.merge(List.of(row(0, 9, 8), row(20, 29, 7), row(40, 49, 7)), List.of()))
                .containsExactly(row(20, 29, 7), row(40, 49, 7));
        assertThat(merger.leftOutRows()).containsExactly(row(0, 9, 8));
    }

    @Test
    void handoverTokensAreDroppedBeforeRowsAreLeftOut() {
        GrantRowMerger merger = merger(1, 9, range(0, 19));
        assertThat(merger.merge(List.of(row(0, 9, 7), row(10, 19, 9, "5c")), List.of()))
                .containsExactly(row(0, 19, 9));
    }

    /** Guards against a raised token on keys that the server has not had under it. */
    @Test
    void onlyKeysOfAnEarlierRowKeepItsFence() {
        GrantRowMerger merger = merger(MAX_ROWS);
        assertThat(merger.merge(List.of(row(0, 99, 7)), List.of(row(50, 59, 9))))
                .containsExactly(row(0, 49, 7), row(50, 59, 9), row(60, 99, 7));
    }

    /**
     * Adds ranges with new fencing tokens, moves them to another member and removes them at random; {@code newestSent}
     * has the token that the server remembers for each key, {@code movedAt} that of the next owner.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 8})
    void fenceOfKeyNeverDecreasesAndStaysBelowThatOfTheNextOwner(int maxRows) {
        Random random = new Random(maxRows);
        AtomicReference<AssignedRanges> assigned = new AtomicReference<>(AssignedRanges.none());
        GrantRowMerger merger = new GrantRowMerger(RowLimit.ofCount(maxRows), assigned::get);
        Map<Long, Long> owned = new TreeMap<>();
        Map<Long, Long> movedAt = new HashMap<>();
        Map<Long, Long> newestSent = new HashMap<>();
        for (long generation = 1; generation <= 2_000; generation++) {
            long key = random.nextInt(12);
            if (movedAt.remove(key) != null) {
                owned.remove(key);
            } else if (owned.putIfAbsent(key, generation) != null) {
                movedAt.put(key, generation);
            }
            assigned.set(new AssignedRanges(
                    new Generation(generation),
                    owned.keySet().stream()
                            .filter(k -> !movedAt.containsKey(k))
                            .map(k -> range(k, k))
                            .toList()));
            List<GrantedRange> granted = new ArrayList<>();
            owned.forEach((rowKey, fence) -> granted.add(row(rowKey, rowKey, fence)));
            List<GrantedRange> rows = merger.merge(granted, List.of());
            assertThat(rows).hasSizeLessThanOrEqualTo(maxRows);
            for (GrantedRange row : rows) {
                for (long rowKey = row.range().first().value();
                        rowKey <= row.range().last().value();
                        rowKey++) {
                    assertThat(row.fence().value()).isGreaterThanOrEqualTo(newestSent.getOrDefault(rowKey, 0L));
                    assertThat(row.fence().value()).isBetween(owned.get(rowKey), generation);
                    assertThat(row.fence().value()).isLessThan(movedAt.getOrDefault(rowKey, Long.MAX_VALUE));
                    newestSent.put(rowKey, row.fence().value());
                }
            }
        }
    }
}
