package org.coriandercrank.kernel.table;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.coriandercrank.kernel.id.KeyHash;

/** Interval arithmetic on ranges of the hash space. Stateless and thread safe. */
public final class KeyRanges {
    private static final double HALF_HASH_SPACE = Math.pow(2, 63);

    private KeyRanges() {}

    public static Optional<KeyRange> intersect(KeyRange a, KeyRange b) {
        if (!a.overlaps(b)) {
            return Optional.empty();
        }
        return Optional.of(new KeyRange(max(a.first(), b.first()), min(a.last(), b.last())));
    }

    /** The parts of a range that none of the other ranges covers, in ascending order. */
    public static List<KeyRange> subtract(KeyRange range, Collection<KeyRange> others) {
        List<KeyRange> remainder = List.of(range);
        for (KeyRange other : others) {
            List<KeyRange> next = new ArrayList<>(remainder.size() + 1);
            for (KeyRange part : remainder) {
                subtractOne(part, other, next);
            }
            remainder = next;
        }
        return remainder;
    }

    private static void subtractOne(KeyRange part, KeyRange removed, List<KeyRange> result) {
        if (!part.overlaps(removed)) {
            result.add(part);
            return;
        }
        if (part.first().compareTo(removed.first()) < 0) {
            result.add(new KeyRange(part.first(), previous(removed.first())));
        }
        if (removed.last().compareTo(part.last()) < 0) {
            result.add(new KeyRange(next(removed.last()), part.last()));
        }
    }

    /**
     * The elements whose ranges overlap a range. Takes logarithmic time, apart from the number of these elements.
     *
     * @param sorted elements in ascending order of their ranges, which do not overlap each other
     */
    public static <T> List<T> overlapping(List<T> sorted, Function<? super T, KeyRange> rangeOf, KeyRange range) {
        int first = 0;
        int end = sorted.size();
        while (first < end) {
            int middle = (first + end) >>> 1;
            if (rangeOf.apply(sorted.get(middle)).last().compareTo(range.first()) < 0) {
                first = middle + 1;
            } else {
                end = middle;
            }
        }
        while (end < sorted.size() && rangeOf.apply(sorted.get(end)).first().compareTo(range.last()) <= 0) {
            end++;
        }
        return sorted.subList(first, end);
    }

    /** Whether {@code b} starts immediately after the end of {@code a}. */
    public static boolean adjacent(KeyRange a, KeyRange b) {
        return !a.last().equals(KeyHash.MAX) && next(a.last()).equals(b.first());
    }

    /** The union of two adjacent ranges, the lower one first. */
    public static KeyRange join(KeyRange a, KeyRange b) {
        return new KeyRange(a.first(), b.last());
    }

    public static boolean isSingleHash(KeyRange range) {
        return range.first().equals(range.last());
    }

    /** Splits a range into one to three ranges so that a hash has a range of its own. */
    public static List<KeyRange> splitAround(KeyRange range, KeyHash hash) {
        List<KeyRange> parts = new ArrayList<>(3);
        if (range.first().compareTo(hash) < 0) {
            parts.add(new KeyRange(range.first(), previous(hash)));
        }
        parts.add(new KeyRange(hash, hash));
        if (hash.compareTo(range.last()) < 0) {
            parts.add(new KeyRange(next(hash), range.last()));
        }
        return parts;
    }

    /**
     * Splits a range in two, the first of which covers approximately a fraction of it. Returns the range itself if it
     * has a single hash.
     */
    public static List<KeyRange> splitAt(KeyRange range, double fraction) {
        long width = range.last().value() - range.first().value();
        if (width == 0) {
            return List.of(range);
        }
        double unsignedWidth = width >= 0 ? (double) width : (double) (width >>> 1) * 2;
        long offset = fromDouble(unsignedWidth * Math.min(Math.max(fraction, 0), 1));
        if (Long.compareUnsigned(offset, width) >= 0) {
            offset = width - 1;
        }
        KeyHash lastOfFirst = new KeyHash(range.first().value() + offset);
        return List.of(new KeyRange(range.first(), lastOfFirst), new KeyRange(next(lastOfFirst), range.last()));
    }

    /** Divides the hash space into consecutive ranges whose sizes have the given proportions. */
    public static List<KeyRange> divide(List<Double> proportions) {
        double total = proportions.stream().mapToDouble(Double::doubleValue).sum();
        List<KeyRange> ranges = new ArrayList<>();
        KeyHash first = KeyHash.MIN;
        double sum = 0;
        for (int i = 0; i < proportions.size(); i++) {
            sum += proportions.get(i);
            KeyHash last = i == proportions.size() - 1
                    ? KeyHash.MAX
                    : new KeyHash(fromDouble(sum / total * 2 * HALF_HASH_SPACE) - 1);
            ranges.add(new KeyRange(first, last));
            if (i < proportions.size() - 1) {
                first = next(last);
            }
        }
        return ranges;
    }

    /** Converts to an unsigned 64-bit integer. */
    private static long fromDouble(double value) {
        return value < HALF_HASH_SPACE ? (long) value : (long) (value - HALF_HASH_SPACE) + Long.MIN_VALUE;
    }

    public static KeyHash next(KeyHash hash) {
        return new KeyHash(hash.value() + 1);
    }

    public static KeyHash previous(KeyHash hash) {
        return new KeyHash(hash.value() - 1);
    }

    private static KeyHash max(KeyHash a, KeyHash b) {
        return a.compareTo(b) >= 0 ? a : b;
    }

    private static KeyHash min(KeyHash a, KeyHash b) {
        return a.compareTo(b) <= 0 ? a : b;
    }
}
