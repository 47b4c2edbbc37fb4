package org.coriandercrank.placement.trial;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.placement.RangeLoad.HotHash;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * Load of keys with a Zipf distribution, whose hottest keys can be replaced by others. The rate of each key is
 * bounded by a maximum. Not thread safe; deterministic for a seed.
 */
final class TrialLoad {
    static final int KEYS = 20_000;
    private static final int HOT_KEYS = 26;
    private static final int REPORTED_HOT_KEYS = 8;
    private static final double SMOOTHING_FACTOR = 0.5;

    private final Random random;
    private final double[] rankRates = new double[KEYS];
    private final long[] hashes;
    private final double[] baseRates = new double[KEYS];
    private final double[] rates = new double[KEYS];
    private final double[] smoothedRates = new double[KEYS];

    TrialLoad(long seed, double exponent, double totalPerSecond, double maxKeyRatePerSecond) {
        random = new Random(seed);
        hashes = random.longs()
                .distinct()
                .limit(KEYS)
                .map(h -> h + Long.MIN_VALUE)
                .sorted()
                .map(h -> h - Long.MIN_VALUE)
                .toArray();
        double sum = 0;
        for (int i = 0; i < KEYS; i++) {
            rankRates[i] = 1 / Math.pow(i + 1, exponent);
            sum += rankRates[i];
        }
        for (int i = 0; i < KEYS; i++) {
            rankRates[i] = Math.min(maxKeyRatePerSecond, rankRates[i] * totalPerSecond / sum);
        }
        int[] order = shuffled();
        for (int i = HOT_KEYS; i < KEYS; i++) {
            baseRates[order[i]] = rankRates[i];
        }
        changeHotKeys();
        System.arraycopy(rates, 0, smoothedRates, 0, KEYS);
    }

    private int[] shuffled() {
        int[] order = IntStream.range(0, KEYS).toArray();
        for (int i = KEYS - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            int swap = order[i];
            order[i] = order[j];
            order[j] = swap;
        }
        return order;
    }

    void changeHotKeys() {
        System.arraycopy(baseRates, 0, rates, 0, KEYS);
        for (int i = 0; i < HOT_KEYS; i++) {
            rates[random.nextInt(KEYS)] = rankRates[i];
        }
    }

    /** Simulates a measurement over two seconds, with the variance of independent arrivals, and smooths the rates. */
    void measure() {
        for (int i = 0; i < KEYS; i++) {
            double counted = Math.max(0, rates[i] + random.nextGaussian() * Math.sqrt(rates[i] / 2));
            smoothedRates[i] += SMOOTHING_FACTOR * (counted - smoothedRates[i]);
        }
    }

    int firstIndex(KeyRange range) {
        int low = 0;
        int high = KEYS;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (Long.compareUnsigned(hashes[middle], range.first().value()) < 0) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    int endIndex(KeyRange range) {
        return range.last().equals(KeyHash.MAX)
                ? KEYS
                : firstIndex(new KeyRange(new KeyHash(range.last().value() + 1), KeyHash.MAX));
    }

    int keyCount(KeyRange range) {
        return endIndex(range) - firstIndex(range);
    }

    double rate(KeyRange range) {
        return Arrays.stream(rates, firstIndex(range), endIndex(range)).sum();
    }

    double smoothedRate(KeyRange range) {
        return Arrays.stream(smoothedRates, firstIndex(range), endIndex(range)).sum();
    }

    /** The hashes of a range with the highest measured rates, highest first. */
    List<HotHash> hottest(KeyRange range) {
        int end = endIndex(range);
        int[] best = new int[REPORTED_HOT_KEYS];
        int found = 0;
        for (int i = firstIndex(range); i < end; i++) {
            if (found == REPORTED_HOT_KEYS && smoothedRates[i] <= smoothedRates[best[found - 1]]) {
                continue;
            }
            int insertIndex = found < REPORTED_HOT_KEYS ? found++ : found - 1;
            while (insertIndex > 0 && smoothedRates[best[insertIndex - 1]] < smoothedRates[i]) {
                best[insertIndex] = best[insertIndex - 1];
                insertIndex--;
            }
            best[insertIndex] = i;
        }
        return Arrays.stream(best, 0, found)
                .mapToObj(i -> new HotHash(new KeyHash(hashes[i]), smoothedRates[i]))
                .toList();
    }
}
