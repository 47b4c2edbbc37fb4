package org.coriandercrank.gate.internal;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.RequestId;

/**
 * Request ids that must not run any more. An entry is removed only by age, never to make room. Not thread safe.
 */
public final class BarList {
    /** What the first outcome query for an id was told. */
    public enum Certainty {
        /** The id was certainly not executed before it was barred. */
        NOT_RUN,
        /** The id may have been executed before it was barred. */
        UNKNOWN
    }

    private record Bar(Certainty certainty, long barredAtNanos) {}

    private final int maxBars;
    private final LinkedHashMap<RequestId, Bar> bars = new LinkedHashMap<>();

    public BarList(int maxBars) {
        this.maxBars = maxBars;
    }

    /** Bars an id; false if the list is full. */
    public boolean bar(RequestId id, Certainty certainty, long nowNanos) {
        if (bars.size() >= maxBars) {
            return false;
        }
        bars.putIfAbsent(id, new Bar(certainty, nowNanos));
        return true;
    }

    public Optional<Certainty> find(RequestId id) {
        return Optional.ofNullable(bars.get(id)).map(Bar::certainty);
    }

    public void expire(long retentionMs, long nowNanos) {
        long retentionNanos = TimeUnit.MILLISECONDS.toNanos(retentionMs);
        Iterator<Bar> oldest = bars.values().iterator();
        while (oldest.hasNext() && nowNanos - oldest.next().barredAtNanos() >= retentionNanos) {
            oldest.remove();
        }
    }
}
