package org.coriandercrank.placement.trial;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.placement.RangeLoad.HotHash;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * Requests per second of Zipf keys; the hottest keys are replaced every minute. Not thread safe, deterministic for a
 * seed. No key gets more than a fixed part of the fair load of a server.
 */
final class TrialLoad {
    static final int KEYS = 20_000;
    private static final int HOT_KEYS = 26;
    private static final int REPORTED_HOT = 8;
    private static final double SMOOTHING = 0.5;

    private final Random random;
    private final double[] rankRates = new double[KEYS];
    private final long[] hashes;
    private final double[] base = new double[KEYS];
    private final double[] rates = new double[KEYS];
    private final double[] smoothed = new double[KEYS];

    TrialLoad(long seed, double exponent, double totalPerSecond, double keyLimitPerSecond) {
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
            rankRates[i] = Math.min(keyLimitPerSecond, rankRates[i] * totalPerSecond / sum);
        }
        int[] order = shuffled();
        for (int i = HOT_KEYS; i < KEYS; i++) {
            base[order[i]] = rankRates[i];
        }
        changeHotKeys();
        System.arraycopy(rates, 0, smoothed, 0, KEYS);
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
        System.arraycopy(base, 0, rates, 0, KEYS);
        for (int i = 0; i < HOT_KEYS; i++) {
            rates[random.nextInt(KEYS)] = rankRates[i];
        }
    }

    /** Measures for two seconds: the counts vary like those of independent arrivals. */
    void measure() {
        for (int i = 0; i < KEYS; i++) {
            double counted = Math.max(0, rates[i] + random.nextGaussian() * Math.sqrt(rates[i] / 2));
            smoothed[i] += SMOOTHING * (counted - smoothed[i]);
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

    int keys(KeyRange range) {
        return endIndex(range) - firstIndex(range);
    }

    double rate(KeyRange range) {
        return Arrays.stream(rates, firstIndex(range), endIndex(range)).sum();
    }

    double smoothedRate(KeyRange range) {
        return Arrays.stream(smoothed, firstIndex(range), endIndex(range)).sum();
    }

    /** The hashes with the highest measured rates, by repeated selection. */
    List<HotHash> hot(KeyRange range) {
        int end = endIndex(range);
        int[] best = new int[REPORTED_HOT];
        int found = 0;
        for (int i = firstIndex(range); i < end; i++) {
            if (found == REPORTED_HOT && smoothed[i] <= smoothed[best[found - 1]]) {
                continue;
            }
            int at = found < REPORTED_HOT ? found++ : found - 1;
            while (at > 0 && smoothed[best[at - 1]] < smoothed[i]) {
                best[at] = best[at - 1];
                at--;
            }
            best[at] = i;
        }
        return Arrays.stream(best, 0, found)
                .mapToObj(i -> new HotHash(new KeyHash(hashes[i]), smoothed[i]))
                .toList();
    }
}
