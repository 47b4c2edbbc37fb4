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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against rows with a fence below one that the server has seen on their keys. It refuses such a row, rejects each
 * request of the keys, and nothing renews the fence as long as the table stands.
 */
class GrantRowMergerTest {
    private static final int MANY = 160;

    private static GrantedRange row(long first, long last, long fence, String token) {
        return new GrantedRange(new KeyRange(new KeyHash(first), new KeyHash(last)), new Generation(fence), token);
    }

    private static GrantedRange row(long first, long last, long fence) {
        return row(first, last, fence, "");
    }

    @Test
    void neighboursOfOneFenceAreOneRow() {
        GrantRowMerger rows = new GrantRowMerger(MANY);
        assertThat(rows.merge(
                        List.of(row(20, 29, 7), row(0, 9, 7), row(10, 19, 7), row(30, 39, 8), row(40, 49, 8, "5c")),
                        List.of()))
                .containsExactly(row(0, 29, 7), row(30, 39, 8), row(40, 49, 8, "5c"));
    }

    @Test
    void neighboursOfDifferentFencesAreOneRowOnlyAboveTheBound() {
        GrantRowMerger rows = new GrantRowMerger(2);
        List<GrantedRange> granted = List.of(row(0, 9, 7), row(10, 19, 9), row(20, 29, 8));
        assertThat(rows.merge(granted, List.of())).containsExactly(row(0, 29, 9));
    }

    /** Seen on the bench: a range left a joined row, and its former neighbour was rejected for ten seconds. */
    @Test
    void restOfAJoinedRowKeepsItsFence() {
        GrantRowMerger rows = new GrantRowMerger(1);
        rows.merge(List.of(row(0, 9, 7), row(10, 19, 9)), List.of());
        assertThat(rows.merge(List.of(row(0, 9, 7)), List.of())).containsExactly(row(0, 9, 9));
        assertThat(rows.merge(List.of(row(0, 9, 7)), List.of())).containsExactly(row(0, 9, 9));
    }

    @Test
    void restartedDaemonKeepsTheFencesThatTheServerHolds() {
        GrantRowMerger rows = new GrantRowMerger(MANY);
        assertThat(rows.merge(List.of(row(0, 9, 7)), List.of(row(0, 19, 9)))).containsExactly(row(0, 9, 9));
    }

    /** Each heartbeat is answered on the thread that reads callers' requests, which would be read late. */
    @Test
    void manyRangesAreJoinedInFewComparisons() {
        List<GrantedRange> granted = new ArrayList<>();
        for (int i = 0; i < 20_000; i++) {
            granted.add(row(2L * i, 2L * i, i + 1));
        }
        GrantRowMerger rows = new GrantRowMerger(MANY);
        assertTimeoutPreemptively(Duration.ofSeconds(10), () -> {
            for (int heartbeat = 0; heartbeat < 10; heartbeat++) {
                assertThat(rows.merge(granted, granted)).hasSize(20_000);
            }
        });
    }

    /** Ranges come under new fences and go, in any order; the server remembers the newest fence of each key. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 8})
    void fenceOfAKeyNeverFalls(int maxRows) {
        Random random = new Random(maxRows);
        GrantRowMerger rows = new GrantRowMerger(maxRows);
        Map<Long, Long> owned = new HashMap<>();
        Map<Long, Long> seen = new HashMap<>();
        long generation = 0;
        for (int step = 0; step < 2_000; step++) {
            generation++;
            long key = random.nextInt(12);
            if (owned.remove(key) == null) {
                owned.put(key, generation);
            }
            List<GrantedRange> granted = new ArrayList<>();
            owned.forEach((k, fence) -> granted.add(row(k, k, fence)));
            for (GrantedRange told : rows.merge(granted, List.of())) {
                for (long k = told.range().first().value();
                        k <= told.range().last().value();
                        k++) {
                    assertThat(told.fence().value()).isGreaterThanOrEqualTo(seen.getOrDefault(k, 0L));
                    assertThat(told.fence().value()).isBetween(owned.get(k), generation);
                    seen.put(k, told.fence().value());
                }
            }
        }
    }
}
