package org.coriandercrank.gate.internal;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.RequestId;

/**
 * Ids of requests that must not be executed any more. An id is removed only by age, never to make room for another.
 * Not thread safe.
 */
public final class BarredRequestIds {
    /** What the first outcome query for a barred id reported. */
    public enum ReportedOutcome {
        /** The id was certainly not executed before it was barred. */
        NOT_RUN,
        /** As NOT_RUN, but the gate had released the range of the request, which another gate may have executed. */
        NOT_RUN_RELEASED,
        /** The id may have been executed before it was barred. */
        UNKNOWN
    }

    private record BarredId(ReportedOutcome reportedOutcome, long barredAtNanos) {}

    private final int maxBarredIds;
    private final LinkedHashMap<RequestId, BarredId> barredById = new LinkedHashMap<>();

    public BarredRequestIds(int maxBarredIds) {
        this.maxBarredIds = maxBarredIds;
    }

    /** Bars an id unless it is barred already. Returns false if the maximum number of ids is reached. */
    public boolean bar(RequestId id, ReportedOutcome reportedOutcome, long nowNanos) {
        if (barredById.size() >= maxBarredIds) {
            return false;
        }
        barredById.putIfAbsent(id, new BarredId(reportedOutcome, nowNanos));
        return true;
    }

    /** Returns what was reported for a barred id, or empty if the id is not barred. */
    public Optional<ReportedOutcome> find(RequestId id) {
        return Optional.ofNullable(barredById.get(id)).map(BarredId::reportedOutcome);
    }

    /** Removes the ids that were barred at least a retention time ago. */
    public void expire(long retentionMs, long nowNanos) {
        long retentionNanos = TimeUnit.MILLISECONDS.toNanos(retentionMs);
        Iterator<BarredId> oldest = barredById.values().iterator();
        while (oldest.hasNext() && nowNanos - oldest.next().barredAtNanos() >= retentionNanos) {
            oldest.remove();
        }
    }
}
