package org.coriandercrank.gate.internal;

import com.google.common.hash.BloomFilter;
import com.google.common.hash.Funnels;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.RequestId;

/**
 * Remembers in constant memory which ids were executed during at least one window.
 *
 * <p>It may report an id that was not executed, never the other way round. It serves outcome queries about requests
 * for which no record is kept, such as repeatable ones. Not thread safe.
 */
public final class ExecutedIdFilter {
    private static final int EXPECTED_IDS = 200_000;
    private static final double FALSE_POSITIVE_RATE = 0.001;

    private BloomFilter<CharSequence> current = newFilter();
    private BloomFilter<CharSequence> previous = newFilter();
    private long windowStartNanos;

    public ExecutedIdFilter(long nowNanos) {
        windowStartNanos = nowNanos;
    }

    public void add(RequestId id) {
        current.put(id.value());
    }

    public boolean mayContain(RequestId id) {
        return current.mightContain(id.value()) || previous.mightContain(id.value());
    }

    /** Starts a new window when the current one is over. */
    public void rotateIfDue(long windowMs, long nowNanos) {
        if (nowNanos - windowStartNanos >= TimeUnit.MILLISECONDS.toNanos(windowMs)) {
            previous = current;
            current = newFilter();
            windowStartNanos = nowNanos;
        }
    }

    private static BloomFilter<CharSequence> newFilter() {
        return BloomFilter.create(Funnels.stringFunnel(StandardCharsets.UTF_8), EXPECTED_IDS, FALSE_POSITIVE_RATE);
    }
}
