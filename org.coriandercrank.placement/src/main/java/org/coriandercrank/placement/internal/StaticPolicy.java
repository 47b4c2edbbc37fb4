package org.coriandercrank.placement.internal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.placement.PlacedRange;
import org.coriandercrank.kernel.placement.PlacementInput;
import org.coriandercrank.kernel.placement.PlacementPolicy;
import org.coriandercrank.kernel.table.KeyRanges;

/**
 * Baseline policy that ignores load: weighted rendezvous hashing of ranges of equal size, whose number is a power of
 * two. Stateless and thread safe.
 */
public final class StaticPolicy implements PlacementPolicy {
    /** Scales a 53-bit integer to a double between 0 and 1. */
    private static final double UNIT_SCALE = 0x1.0p-53;

    @Override
    public List<PlacedRange> place(PlacementInput input) {
        Map<MemberId, Double> weights = ServerWeights.of(input);
        if (weights.isEmpty()) {
            return List.of();
        }
        int buckets = Integer.highestOneBit(TableCompaction.MAX_RANGES_PER_MEMBER * weights.size());
        String reason = input.table().assignments().isEmpty() ? "initial" : "rendezvous";
        List<PlacedRange> placed = new ArrayList<>();
        for (var range : KeyRanges.divide(Collections.nCopies(buckets, 1.0))) {
            MemberId owner = weights.entrySet().stream()
                    .max(Comparator.comparingDouble(e -> score(range.first(), e.getKey(), e.getValue())))
                    .orElseThrow()
                    .getKey();
            placed.add(new PlacedRange(range, owner, reason));
        }
        return placed;
    }

    /** Score of a member for a bucket; the member with the highest score owns the bucket. */
    private static double score(KeyHash bucket, MemberId member, double weight) {
        long seed = bucket.value();
        for (int i = 0; i < member.value().length(); i++) {
            seed = mix64(seed * 31 + member.value().charAt(i));
        }
        double uniform = ((seed >>> 11) + 0.5) * UNIT_SCALE;
        return -weight / Math.log(uniform);
    }

    /** The mixing function of the SplitMix64 generator. */
    private static long mix64(long value) {
        long z = value + 0x9E3779B97F4A7C15L;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }
}
