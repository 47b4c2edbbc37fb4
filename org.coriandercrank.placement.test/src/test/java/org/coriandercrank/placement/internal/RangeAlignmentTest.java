package org.coriandercrank.placement.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.placement.PlacedRange;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;
import org.junit.jupiter.api.Test;

/** Guards against ranges that end within a numbered key, so that two servers would own parts of it. */
class RangeAlignmentTest {
    private static final long STEP = 1L << 48;
    private static final MemberId A = new MemberId("a");
    private static final MemberId B = new MemberId("b");

    private static PlacedRange placed(long first, long last, MemberId owner) {
        return new PlacedRange(new KeyRange(new KeyHash(first), new KeyHash(last)), owner, "test");
    }

    @Test
    void everyBoundaryLiesBetweenTwoKeysAndNothingIsLost() {
        List<PlacedRange> aligned = RangeAlignment.align(
                List.of(placed(0, 5 * STEP + 17, A), placed(5 * STEP + 18, 9 * STEP - 1, B), placed(9 * STEP, -1, A)),
                16);
        assertThat(aligned)
                .containsExactly(
                        placed(0, 6 * STEP - 1, A), placed(6 * STEP, 9 * STEP - 1, B), placed(9 * STEP, -1, A));
    }

    /** A hot key is split off as a range of one position. */
    @Test
    void rangeOfOnePositionBecomesTheWholeKey() {
        long hot = 7 * STEP;
        List<PlacedRange> aligned =
                RangeAlignment.align(List.of(placed(0, hot - 1, A), placed(hot, hot, B), placed(hot + 1, -1, A)), 16);
        assertThat(aligned)
                .containsExactly(placed(0, hot - 1, A), placed(hot, hot + STEP - 1, B), placed(hot + STEP, -1, A));
    }

    @Test
    void rangeWithinOneKeyDisappears() {
        List<PlacedRange> aligned = RangeAlignment.align(
                List.of(placed(0, STEP + 5, A), placed(STEP + 6, STEP + 9, B), placed(STEP + 10, -1, A)), 16);
        assertThat(aligned).containsExactly(placed(0, 2 * STEP - 1, A), placed(2 * STEP, -1, A));
    }

    @Test
    void rangeBehindTheLastBoundaryJoinsTheOneBefore() {
        List<PlacedRange> aligned = RangeAlignment.align(List.of(placed(0, -100, A), placed(-99, -1, B)), 16);
        assertThat(aligned).containsExactly(new PlacedRange(KeyRange.ALL, A, "test"));
        assertThat(KeyRanges.isSingleHash(aligned.get(0).range())).isFalse();
    }
}
