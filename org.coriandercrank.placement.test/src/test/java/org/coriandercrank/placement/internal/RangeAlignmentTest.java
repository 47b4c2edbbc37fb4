package org.coriandercrank.placement.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.placement.PlacedRange;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;
import org.junit.jupiter.api.Test;

/** Guards against range boundaries within the hashes of one key, so that two servers would own parts of the key. */
class RangeAlignmentTest {
    private static final int KEY_BITS = 16;
    private static final long HASHES_PER_KEY = 1L << 48;
    private static final MemberId A = new MemberId("a");
    private static final MemberId B = new MemberId("b");

    private static PlacedRange placed(long first, long last, MemberId owner) {
        return new PlacedRange(new KeyRange(new KeyHash(first), new KeyHash(last)), owner, "test");
    }

    @Test
    void boundariesLieBetweenKeysAndRangesStayComplete() {
        List<PlacedRange> aligned = RangeAlignment.align(
                List.of(
                        placed(0, 5 * HASHES_PER_KEY + 17, A),
                        placed(5 * HASHES_PER_KEY + 18, 9 * HASHES_PER_KEY - 1, B),
                        placed(9 * HASHES_PER_KEY, -1, A)),
                KEY_BITS);
        assertThat(aligned)
                .containsExactly(
                        placed(0, 6 * HASHES_PER_KEY - 1, A),
                        placed(6 * HASHES_PER_KEY, 9 * HASHES_PER_KEY - 1, B),
                        placed(9 * HASHES_PER_KEY, -1, A));
    }

    /** A policy splits off a hot key as a range of a single hash. */
    @Test
    void singleHashRangeBecomesWholeKey() {
        long hot = 7 * HASHES_PER_KEY;
        List<PlacedRange> aligned = RangeAlignment.align(
                List.of(placed(0, hot - 1, A), placed(hot, hot, B), placed(hot + 1, -1, A)), KEY_BITS);
        assertThat(aligned)
                .containsExactly(
                        placed(0, hot - 1, A),
                        placed(hot, hot + HASHES_PER_KEY - 1, B),
                        placed(hot + HASHES_PER_KEY, -1, A));
    }

    @Test
    void rangeWithinOneKeyIsOmitted() {
        List<PlacedRange> aligned = RangeAlignment.align(
                List.of(
                        placed(0, HASHES_PER_KEY + 5, A),
                        placed(HASHES_PER_KEY + 6, HASHES_PER_KEY + 9, B),
                        placed(HASHES_PER_KEY + 10, -1, A)),
                KEY_BITS);
        assertThat(aligned).containsExactly(placed(0, 2 * HASHES_PER_KEY - 1, A), placed(2 * HASHES_PER_KEY, -1, A));
    }

    @Test
    void rangeAfterLastBoundaryIsMergedIntoPreviousRange() {
        List<PlacedRange> aligned = RangeAlignment.align(List.of(placed(0, -100, A), placed(-99, -1, B)), KEY_BITS);
        assertThat(aligned).containsExactly(new PlacedRange(KeyRange.ALL, A, "test"));
        assertThat(KeyRanges.isSingleHash(aligned.get(0).range())).isFalse();
    }
}
