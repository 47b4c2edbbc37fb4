package org.coriandercrank.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;
import org.junit.jupiter.api.Test;

/** Tests the search in sorted ranges. */
final class KeyRangesTest {
    private static final int TRIALS = 2_000;

    /** Guards against a range that is missed or added at an end of the overlap, also in gaps and without any range. */
    @Test
    void findsExactlyTheOverlappingRanges() {
        Random random = new Random(7);
        for (int trial = 0; trial < TRIALS; trial++) {
            List<KeyRange> sorted = new ArrayList<>();
            long next = random.nextInt(3);
            int count = random.nextInt(8);
            for (int i = 0; i < count; i++) {
                long last = next + random.nextInt(4);
                sorted.add(new KeyRange(new KeyHash(next), new KeyHash(last)));
                next = last + 1 + random.nextInt(3);
            }
            long first = random.nextInt(20);
            KeyRange range = new KeyRange(new KeyHash(first), new KeyHash(first + random.nextInt(12)));
            assertThat(KeyRanges.overlapping(sorted, Function.identity(), range))
                    .as("%s in %s", range, sorted)
                    .isEqualTo(sorted.stream().filter(range::overlaps).toList());
        }
    }

    /** Guards against a search that looks at all ranges of a service, of which there may be thousands. */
    @Test
    void looksAtFewRanges() {
        List<KeyRange> sorted = KeyRanges.divide(Collections.nCopies(4_096, 1.0));
        AtomicInteger looks = new AtomicInteger();
        for (KeyRange range : sorted) {
            looks.set(0);
            List<KeyRange> found = KeyRanges.overlapping(
                    sorted,
                    candidate -> {
                        looks.incrementAndGet();
                        return candidate;
                    },
                    range);
            assertThat(found).containsExactly(range);
            assertThat(looks.get()).isLessThanOrEqualTo(16);
        }
    }
}
