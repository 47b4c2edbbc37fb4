package org.coriandercrank.placement.internal;

import java.util.ArrayList;
import java.util.List;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.placement.PlacedRange;
import org.coriandercrank.kernel.table.KeyRange;
import org.coriandercrank.kernel.table.KeyRanges;

/**
 * Aligns range boundaries with key boundaries, for services whose keys differ only in the leading bits of the hash.
 * Stateless and thread safe.
 */
public final class RangeAlignment {
    private RangeAlignment() {}

    /**
     * Moves each boundary up to the next position at which the leading bits change, and omits ranges that become empty.
     *
     * @param ranges consecutive ranges
     * @param keyBits number of leading bits that distinguish keys, 1 to 64
     */
    public static List<PlacedRange> align(List<PlacedRange> ranges, int keyBits) {
        long step = keyBits == Long.SIZE ? 1 : 1L << (Long.SIZE - keyBits);
        List<PlacedRange> aligned = new ArrayList<>(ranges.size());
        for (PlacedRange range : ranges) {
            KeyHash first = roundUp(range.range().first(), step);
            boolean endsAtMax = range.range().last().equals(KeyHash.MAX);
            KeyHash end = endsAtMax
                    ? KeyHash.MAX
                    : KeyRanges.previous(roundUp(KeyRanges.next(range.range().last()), step));
            boolean wrapped = first.compareTo(range.range().first()) < 0;
            if (!wrapped && first.compareTo(end) <= 0) {
                aligned.add(new PlacedRange(new KeyRange(first, end), range.owner(), range.reason()));
            }
        }
        return aligned;
    }

    /** The smallest multiple of {@code step}, a power of two, that is not below a hash; 0 if there is none. */
    private static KeyHash roundUp(KeyHash hash, long step) {
        return new KeyHash((hash.value() + step - 1) & -step);
    }
}
