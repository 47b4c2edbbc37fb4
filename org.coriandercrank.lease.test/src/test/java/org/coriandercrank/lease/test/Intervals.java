package org.coriandercrank.lease.test;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Times, in nanoseconds, during which something fails. Immutable. */
record Intervals(List<Interval> intervals) {
    private record Interval(long fromNanos, long toNanos) {}

    /** Returns up to {@code maxCount} intervals that start before the end. */
    static Intervals random(Random random, int maxCount, long maxNanos, long endNanos) {
        List<Interval> result = new ArrayList<>();
        for (int i = random.nextInt(maxCount + 1); i > 0; i--) {
            long fromNanos = random.nextLong(endNanos);
            result.add(new Interval(fromNanos, fromNanos + random.nextLong(maxNanos)));
        }
        return new Intervals(List.copyOf(result));
    }

    boolean contains(long nanos) {
        return intervals.stream().anyMatch(interval -> interval.fromNanos() <= nanos && nanos < interval.toNanos());
    }
}
