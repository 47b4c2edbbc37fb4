package org.coriandercrank.gate.internal;

import com.google.common.hash.BloomFilter;
import com.google.common.hash.Funnels;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.RequestId;

/**
 * Bloom filter of the request ids that were executed recently, in constant memory. An id is kept for at least one
 * window.
 *
 * <p>The filter may report an id that was not executed, but it never misses an id that was executed during the window.
 * It answers outcome queries about requests without an outcome record, such as repeatable requests. Not thread safe.
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

    /** Starts a new window if the current one has ended, and forgets the ids of the window before it. */
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
