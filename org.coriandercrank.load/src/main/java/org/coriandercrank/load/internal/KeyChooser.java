package org.coriandercrank.load.internal;

import java.util.Random;
import java.util.random.RandomGenerator;

/**
 * Chooses keys with a Zipf distribution whose hottest keys change after each period. Not thread safe.
 *
 * <p>The distribution over ranks stays the same; which keys hold the ranks of the hot set depends on seed and period.
 */
final class KeyChooser {
    private final double[] cumulative;
    private final int hotKeys;
    private final long hotChangeMs;
    private final long seed;
    private final RandomGenerator random;
    private long period = -1;
    private int[] hotSet = new int[0];

    KeyChooser(LoadPlan plan) {
        this.hotKeys = Math.min(plan.hotKeys(), plan.keys());
        this.hotChangeMs = plan.hotChangeMs();
        this.seed = plan.seed();
        this.random = new Random(plan.seed());
        this.cumulative = cumulative(plan.keys(), plan.zipfExponent());
    }

    private static double[] cumulative(int keys, double exponent) {
        double[] sums = new double[keys];
        double sum = 0;
        for (int rank = 0; rank < keys; rank++) {
            sum += 1 / Math.pow(rank + 1, exponent);
            sums[rank] = sum;
        }
        return sums;
    }

    String next(long elapsedMs) {
        long currentPeriod = elapsedMs / hotChangeMs;
        if (currentPeriod != period) {
            period = currentPeriod;
            hotSet = new Random(seed * 31 + period)
                    .ints(hotKeys, 0, cumulative.length)
                    .toArray();
        }
        int rank = rankOf(random.nextDouble() * cumulative[cumulative.length - 1]);
        int key = rank < hotKeys ? hotSet[rank] : rank;
        return "key-" + key;
    }

    private int rankOf(double point) {
        int low = 0;
        int high = cumulative.length - 1;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (cumulative[middle] < point) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}
