package org.coriandercrank.load.internal;

import java.util.Random;
import java.util.random.RandomGenerator;

/**
 * Chooses random keys with a Zipf distribution whose most frequent keys change after each period. Not thread safe.
 *
 * <p>The distribution over ranks stays the same. The first ranks belong to the hot set, whose keys depend on the seed
 * and the period.
 */
final class KeyChooser {
    private final double[] cumulativeWeights;
    private final int hotKeys;
    private final long hotChangeMs;
    private final long seed;
    private final RandomGenerator random;
    private long hotSetPeriod = -1;
    private int[] hotSet = new int[0];

    KeyChooser(LoadPlan plan) {
        this.hotKeys = Math.min(plan.hotKeys(), plan.keys());
        this.hotChangeMs = plan.hotChangeMs();
        this.seed = plan.seed();
        this.random = new Random(plan.seed());
        this.cumulativeWeights = cumulativeWeights(plan.keys(), plan.zipfExponent());
    }

    private static double[] cumulativeWeights(int keys, double exponent) {
        double[] cumulativeWeights = new double[keys];
        double total = 0;
        for (int rank = 0; rank < keys; rank++) {
            total += 1 / Math.pow(rank + 1, exponent);
            cumulativeWeights[rank] = total;
        }
        return cumulativeWeights;
    }

    /** Returns a random key for a request at a time since the start of the run. */
    String nextKey(long elapsedMs) {
        long currentPeriod = elapsedMs / hotChangeMs;
        if (currentPeriod != hotSetPeriod) {
            hotSetPeriod = currentPeriod;
            hotSet = new Random(seed * 31 + hotSetPeriod)
                    .ints(hotKeys, 0, cumulativeWeights.length)
                    .toArray();
        }
        int rank = rankOf(random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1]);
        int key = rank < hotKeys ? hotSet[rank] : rank;
        return "key-" + key;
    }

    private int rankOf(double cumulativeWeight) {
        int low = 0;
        int high = cumulativeWeights.length - 1;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (cumulativeWeights[middle] < cumulativeWeight) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}
