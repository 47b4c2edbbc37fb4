package org.coriandercrank.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.coriandercrank.kernel.backend.Grant.GrantedRange;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.table.KeyRange;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against rows with a fencing token older than one that the server has seen on a key of the row. The server
 * rejects such a row and every request for its keys, and the token stays the same until the assignment table changes.
 */
class GrantRowMergerTest {
    private static final int MAX_ROWS = 160;

    private static GrantedRange row(long first, long last, long fence, String token) {
        return new GrantedRange(new KeyRange(new KeyHash(first), new KeyHash(last)), new Generation(fence), token);
    }

    private static GrantedRange row(long first, long last, long fence) {
        return row(first, last, fence, "");
    }

    @Test
    void mergesAdjacentRangesWithSameFence() {
        GrantRowMerger merger = new GrantRowMerger(MAX_ROWS);
        assertThat(merger.merge(
                        List.of(row(20, 29, 7), row(0, 9, 7), row(10, 19, 7), row(30, 39, 8), row(40, 49, 8, "5c")),
                        List.of()))
                .containsExactly(row(0, 29, 7), row(30, 39, 8), row(40, 49, 8, "5c"));
    }

    @Test
    void mergesAdjacentRangesWithDifferentFencesOnlyAboveTheLimit() {
        GrantRowMerger merger = new GrantRowMerger(2);
        List<GrantedRange> granted = List.of(row(0, 9, 7), row(10, 19, 9), row(20, 29, 8));
        assertThat(merger.merge(granted, List.of())).containsExactly(row(0, 29, 9));
    }

    /**
     * A range that a newer table gives to another member stays granted until that member requests its release. The next
     * owner receives the generation of that table as its token, which must be above every token under which this server
     * had the range.
     */
    @Tag("known-red")
    @Test
    void rangeThatIsBeingMovedKeepsItsFence() {
        GrantRowMerger merger = new GrantRowMerger(1);
        assertThat(merger.merge(List.of(row(0, 99, 7), row(100, 199, 9)), List.of()))
                .contains(row(0, 99, 7));
    }

    /** Guards against a failure in which one range of a merged row moved away and the other was rejected for 10 s. */
    @Test
    void remainderOfMergedRowKeepsItsFence() {
        GrantRowMerger merger = new GrantRowMerger(1);
        merger.merge(List.of(row(0, 9, 7), row(10, 19, 9)), List.of());
        assertThat(merger.merge(List.of(row(0, 9, 7)), List.of())).containsExactly(row(0, 9, 9));
        assertThat(merger.merge(List.of(row(0, 9, 7)), List.of())).containsExactly(row(0, 9, 9));
    }

    @Test
    void restartedDaemonKeepsFencesHeldByServer() {
        GrantRowMerger merger = new GrantRowMerger(MAX_ROWS);
        assertThat(merger.merge(List.of(row(0, 9, 7)), List.of(row(0, 19, 9)))).containsExactly(row(0, 9, 9));
    }

    /** Heartbeats are processed on the thread that reads callers' requests, which a slow merge would delay. */
    @Test
    void mergeOfManyRangesTakesOnePass() {
        List<GrantedRange> granted = new ArrayList<>();
        for (int i = 0; i < 20_000; i++) {
            granted.add(row(2L * i, 2L * i, i + 1));
        }
        GrantRowMerger merger = new GrantRowMerger(MAX_ROWS);
        assertTimeoutPreemptively(Duration.ofSeconds(10), () -> {
            for (int heartbeat = 0; heartbeat < 10; heartbeat++) {
                assertThat(merger.merge(granted, granted)).hasSize(20_000);
            }
        });
    }

    /**
     * Adds ranges with new fencing tokens and removes ranges at random; {@code newestSent} has the token that the
     * server remembers for each key.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 8})
    void fenceOfKeyNeverDecreases(int maxRows) {
        Random random = new Random(maxRows);
        GrantRowMerger merger = new GrantRowMerger(maxRows);
        Map<Long, Long> owned = new HashMap<>();
        Map<Long, Long> newestSent = new HashMap<>();
        long generation = 0;
        for (int step = 0; step < 2_000; step++) {
            generation++;
            long key = random.nextInt(12);
            if (owned.remove(key) == null) {
                owned.put(key, generation);
            }
            List<GrantedRange> granted = new ArrayList<>();
            owned.forEach((rowKey, fence) -> granted.add(row(rowKey, rowKey, fence)));
            for (GrantedRange row : merger.merge(granted, List.of())) {
                for (long rowKey = row.range().first().value();
                        rowKey <= row.range().last().value();
                        rowKey++) {
                    assertThat(row.fence().value()).isGreaterThanOrEqualTo(newestSent.getOrDefault(rowKey, 0L));
                    assertThat(row.fence().value()).isBetween(owned.get(rowKey), generation);
                    newestSent.put(rowKey, row.fence().value());
                }
            }
        }
    }
}
