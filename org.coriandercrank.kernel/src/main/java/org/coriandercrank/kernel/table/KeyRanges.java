package org.coriandercrank.kernel.table;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.coriandercrank.kernel.id.KeyHash;

/** Interval arithmetic on hash ranges. Stateless and thread safe. */
public final class KeyRanges {
    private static final double HALF_SPACE = Math.pow(2, 63);

    private KeyRanges() {}

    public static Optional<KeyRange> intersect(KeyRange a, KeyRange b) {
        if (!a.overlaps(b)) {
            return Optional.empty();
        }
        return Optional.of(new KeyRange(max(a.first(), b.first()), min(a.last(), b.last())));
    }

    /** The parts of a range that none of the others contains, in order. */
    public static List<KeyRange> subtract(KeyRange range, Collection<KeyRange> others) {
        List<KeyRange> rest = List.of(range);
        for (KeyRange other : others) {
            List<KeyRange> next = new ArrayList<>(rest.size() + 1);
            for (KeyRange part : rest) {
                subtractOne(part, other, next);
            }
            rest = next;
        }
        return rest;
    }

    private static void subtractOne(KeyRange part, KeyRange cut, List<KeyRange> out) {
        if (!part.overlaps(cut)) {
            out.add(part);
            return;
        }
        if (part.first().compareTo(cut.first()) < 0) {
            out.add(new KeyRange(part.first(), previous(cut.first())));
        }
        if (cut.last().compareTo(part.last()) < 0) {
            out.add(new KeyRange(next(cut.last()), part.last()));
        }
    }

    /** Whether {@code b} begins right after the end of {@code a}. */
    public static boolean adjacent(KeyRange a, KeyRange b) {
        return !a.last().equals(KeyHash.MAX) && next(a.last()).equals(b.first());
    }

    /** One range over two adjacent ranges. */
    public static KeyRange join(KeyRange a, KeyRange b) {
        return new KeyRange(a.first(), b.last());
    }

    public static boolean isSingleHash(KeyRange range) {
        return range.first().equals(range.last());
    }

    /** Splits a range so that a hash has a range of its own; one to three ranges. */
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

    /** Splits off about a fraction of a range at its start; one range if it cannot be split. */
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

    /** Divides the hash space into consecutive ranges whose sizes are in proportion to the given parts. */
    public static List<KeyRange> divide(List<Double> parts) {
        double total = parts.stream().mapToDouble(Double::doubleValue).sum();
        List<KeyRange> ranges = new ArrayList<>();
        KeyHash first = KeyHash.MIN;
        double sum = 0;
        for (int i = 0; i < parts.size(); i++) {
            sum += parts.get(i);
            KeyHash last =
                    i == parts.size() - 1 ? KeyHash.MAX : new KeyHash(fromDouble(sum / total * 2 * HALF_SPACE) - 1);
            ranges.add(new KeyRange(first, last));
            if (i < parts.size() - 1) {
                first = next(last);
            }
        }
        return ranges;
    }

    private static long fromDouble(double value) {
        return value < HALF_SPACE ? (long) value : (long) (value - HALF_SPACE) + Long.MIN_VALUE;
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
