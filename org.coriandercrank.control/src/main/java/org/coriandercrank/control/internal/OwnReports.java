package org.coriandercrank.control.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Function;

/**
 * The latest reports of one kind that the record of this daemon must have. Above the limit the oldest are dropped. Not
 * thread safe.
 *
 * @param <T> the kind of report
 */
final class OwnReports<T> {
    /** A report, and when this process learned of it. */
    private record Entry<T>(T report, long sinceNanos) {}

    private final int limit;
    private final Function<T, Object> identity;
    private final Deque<Entry<T>> entries = new ArrayDeque<>();

    /** @param identity what two copies of a report have in common */
    OwnReports(int limit, Function<T, Object> identity) {
        this.limit = limit;
        this.identity = identity;
    }

    void add(T report, long nowNanos) {
        entries.addLast(new Entry<>(report, nowNanos));
        if (entries.size() > limit) {
            entries.removeFirst();
        }
    }

    /** Adds a report of an earlier process of this host if there is room and it is not known; returns whether it did. */
    boolean addEarlier(T report, long nowNanos) {
        boolean known = entries.stream()
                .anyMatch(entry -> identity.apply(entry.report()).equals(identity.apply(report)));
        if (known || entries.size() >= limit) {
            return false;
        }
        add(report, nowNanos);
        return true;
    }

    /** Removes the reports that have reached an age; returns whether there were any. */
    boolean removeAged(long ageNanos, long nowNanos) {
        return entries.removeIf(entry -> nowNanos - entry.sinceNanos() >= ageNanos);
    }

    List<T> all() {
        return entries.stream().map(Entry::report).toList();
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }
}
