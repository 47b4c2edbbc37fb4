package org.coriandercrank.gate.internal;

import java.util.ArrayList;
import java.util.List;
import org.apache.datasketches.frequencies.ErrorType;
import org.apache.datasketches.frequencies.LongsSketch;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.placement.RangeLoad.HotHash;

/**
 * Measures the request rate of a range and finds its hot hashes, that is, the key hashes with the most requests.
 * Refused requests count too, because placement must find capacity for them.
 *
 * <p>The rate is smoothed over several seconds. The hot hashes are those of the last complete window. Not thread safe.
 */
public final class RangeLoadMeter {
    private static final int SKETCH_CAPACITY = 512;
    private static final int MAX_HOT_HASHES = 8;
    /** Minimum fraction of the requests of the range for a hot hash. */
    private static final double MIN_HOT_SHARE = 0.01;

    private static final double SMOOTHING_TIME_CONSTANT_SECONDS = 3;
    private static final double HOT_HASH_WINDOW_SECONDS = 2;
    private static final double NANOS_PER_SECOND = 1e9;

    private final LongsSketch sketch = new LongsSketch(SKETCH_CAPACITY);
    private double ratePerSecond;
    private long requestCount;
    private long lastUpdateNanos;
    private long windowStartNanos;
    private List<HotHash> hotHashes = List.of();

    public RangeLoadMeter(long nowNanos) {
        lastUpdateNanos = nowNanos;
        windowStartNanos = nowNanos;
    }

    /** Creates the meter for a subrange; it starts with the given fraction of the rate of this range. */
    RangeLoadMeter forSubrange(double rateShare) {
        RangeLoadMeter meter = new RangeLoadMeter(lastUpdateNanos);
        meter.ratePerSecond = ratePerSecond * rateShare;
        return meter;
    }

    /** Counts a request that arrived for a key hash. */
    public void onRequest(KeyHash hash) {
        requestCount++;
        sketch.update(hash.value());
    }

    /** Updates the rate with the requests since the last call, and the hot hashes if the window has ended. */
    public void updateRate(long nowNanos) {
        double elapsedSeconds = (nowNanos - lastUpdateNanos) / NANOS_PER_SECOND;
        if (elapsedSeconds <= 0) {
            return;
        }
        double weight = 1 - Math.exp(-elapsedSeconds / SMOOTHING_TIME_CONSTANT_SECONDS);
        ratePerSecond += weight * (requestCount / elapsedSeconds - ratePerSecond);
        requestCount = 0;
        lastUpdateNanos = nowNanos;
        double windowSeconds = (nowNanos - windowStartNanos) / NANOS_PER_SECOND;
        if (windowSeconds >= HOT_HASH_WINDOW_SECONDS) {
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
