package org.coriandercrank.gate.internal;

import java.util.ArrayList;
import java.util.List;
import org.apache.datasketches.frequencies.ErrorType;
import org.apache.datasketches.frequencies.LongsSketch;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.placement.RangeLoad.HotHash;

/**
 * Requested rate of a range and its heavy hitters; counts refused requests too, because they are load to be placed.
 *
 * <p>The rate is smoothed over some seconds. Heavy hitters are those of the last full window. Not thread safe.
 */
public final class LoadMeter {
    private static final int SKETCH_ENTRIES = 512;
    private static final int MAX_HOT_HASHES = 8;
    private static final double MIN_HOT_SHARE = 0.01;
    private static final double SMOOTHING_SECONDS = 3;
    private static final double WINDOW_SECONDS = 2;
    private static final double NANOS_PER_SECOND = 1e9;

    private final LongsSketch sketch = new LongsSketch(SKETCH_ENTRIES);
    private double ratePerSecond;
    private long requests;
    private long lastRollNanos;
    private long windowStartNanos;
    private List<HotHash> hotHashes = List.of();

    public LoadMeter(long nowNanos) {
        lastRollNanos = nowNanos;
        windowStartNanos = nowNanos;
    }

    /** Meter of a part of the range, starting with its share of the rate. */
    LoadMeter part(double share) {
        LoadMeter part = new LoadMeter(lastRollNanos);
        part.ratePerSecond = ratePerSecond * share;
        return part;
    }

    public void onRequest(KeyHash hash) {
        requests++;
        sketch.update(hash.value());
    }

    /** Takes the requests since the last call into the rate. */
    public void roll(long nowNanos) {
        double seconds = (nowNanos - lastRollNanos) / NANOS_PER_SECOND;
        if (seconds <= 0) {
            return;
        }
        double weight = 1 - Math.exp(-seconds / SMOOTHING_SECONDS);
        ratePerSecond += weight * (requests / seconds - ratePerSecond);
        requests = 0;
        lastRollNanos = nowNanos;
        double windowSeconds = (nowNanos - windowStartNanos) / NANOS_PER_SECOND;
        if (windowSeconds >= WINDOW_SECONDS) {
            hotHashes = topHashes(windowSeconds);
            sketch.reset();
            windowStartNanos = nowNanos;
        }
    }

    public double ratePerSecond() {
        return ratePerSecond;
    }

    public List<HotHash> hotHashes() {
        return hotHashes;
    }

    private List<HotHash> topHashes(double windowSeconds) {
        double minRequests = sketch.getStreamLength() * MIN_HOT_SHARE;
        List<HotHash> top = new ArrayList<>();
        for (LongsSketch.Row row : sketch.getFrequentItems(ErrorType.NO_FALSE_POSITIVES)) {
            if (top.size() < MAX_HOT_HASHES && row.getLowerBound() > minRequests) {
                top.add(new HotHash(new KeyHash(row.getItem()), row.getEstimate() / windowSeconds));
            }
        }
        return top;
    }
}
