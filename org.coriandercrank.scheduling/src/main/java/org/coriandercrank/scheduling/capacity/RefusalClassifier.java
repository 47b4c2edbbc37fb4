package org.coriandercrank.scheduling.capacity;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether the refusals of a backend server are caused by its load. Not thread safe; the current time is a
 * parameter of the methods.
 *
 * <p>Load pattern: a faulty server refuses half of its requests for seconds although its slots are free. Fewer
 * concurrent requests do not help there and leave the server idle. A refusal is taken for overload only if requests
 * that were sent while fewer calls ran are refused clearly less often, or if there were too few to compare with. The calls
 * are grouped into three bands of concurrency, so that few requests suffice for a comparison. Results lose weight
 * within about a second, because a server that fills up must be noticed as fast.
 */
public final class RefusalClassifier {
    private static final int BANDS = 3;

    /** Upper ends of the two lower bands, as shares of the slots. */
    private static final double LOW_BAND_SHARE = 0.25;

    private static final double MIDDLE_BAND_SHARE = 0.5;

    private static final double DECAY_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Results of a band that are too few for a comparison. */
    private static final double MIN_RESULTS = 2.5;

    /** Refusals are unrelated to load only if at least this share of the requests at lower concurrency is refused... */
    private static final double MIN_UNRELATED_SHARE = 0.1;

    /** ... and at least this part of the share at the higher concurrency. */
    private static final double MIN_UNRELATED_RATIO = 0.5;

    /** Increase of the share of refusals that ends an earlier verdict, because it is not taken for chance. */
    private static final double CLEAR_INCREASE = 0.25;

    /**
     * Time for which refusals that load does not explain are expected to go on. Without it, the limit would be reduced
     * again as soon as the results at low concurrency have lost their weight.
     */
    private static final long VERDICT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final int slots;
    private final double[] results = new double[BANDS];
    private final double[] refusals = new double[BANDS];
    private long decayedAtNanos;
    private boolean unrelatedToLoad;
    private long verdictAtNanos;
    private double verdictShare;

    public RefusalClassifier(int slots, long nowNanos) {
        this.slots = slots;
        decayedAtNanos = nowNanos;
    }

    /**
     * Records a request that the server accepted or refused.
     *
     * @param runningCalls number of calls that ran when the request was sent, including it
     */
    public void onResult(int runningCalls, boolean refused, long nowNanos) {
        decay(nowNanos);
        int band = band(runningCalls);
        results[band]++;
        refusals[band] += refused ? 1 : 0;
    }

    /** Whether a refusal that was recorded just now is a sign of overload. */
    public boolean isOverload(int runningCalls, long nowNanos) {
        decay(nowNanos);
        int band = band(runningCalls);
        double share = share(band);
        if (unrelatedToLoad && nowNanos - verdictAtNanos < VERDICT_NANOS && share < verdictShare + CLEAR_INCREASE) {
            return false;
        }
        unrelatedToLoad = false;
        if (band == 0) {
            if (results[0] >= MIN_RESULTS && share >= MIN_UNRELATED_SHARE) {
                setUnrelatedToLoad(share, nowNanos);
            }
            return false;
        }
        int lower = lowerBandWithResults(band);
        if (lower < 0 || share(lower) < MIN_UNRELATED_SHARE || share(lower) < MIN_UNRELATED_RATIO * share) {
            return true;
        }
        setUnrelatedToLoad(share, nowNanos);
        return false;
    }

    /** Whether the refusals were found not to depend on load, so that a limit that they reduced has no reason. */
    public boolean isUnrelatedToLoad(long nowNanos) {
        return unrelatedToLoad && nowNanos - verdictAtNanos < VERDICT_NANOS;
    }

    private void setUnrelatedToLoad(double share, long nowNanos) {
        unrelatedToLoad = true;
        verdictAtNanos = nowNanos;
        verdictShare = share;
    }

    private int lowerBandWithResults(int band) {
        for (int lower = band - 1; lower >= 0; lower--) {
            if (results[lower] >= MIN_RESULTS) {
                return lower;
            }
        }
        return -1;
    }

    private double share(int band) {
        return results[band] == 0 ? 0 : refusals[band] / results[band];
    }

    private int band(int runningCalls) {
        if (runningCalls <= Math.max(1, slots * LOW_BAND_SHARE)) {
            return 0;
        }
        return runningCalls <= Math.max(2, slots * MIDDLE_BAND_SHARE) ? 1 : 2;
    }

    private void decay(long nowNanos) {
        double factor = Math.exp(-(nowNanos - decayedAtNanos) / DECAY_NANOS);
        for (int band = 0; band < BANDS; band++) {
            results[band] *= factor;
            refusals[band] *= factor;
        }
        decayedAtNanos = nowNanos;
    }
}
