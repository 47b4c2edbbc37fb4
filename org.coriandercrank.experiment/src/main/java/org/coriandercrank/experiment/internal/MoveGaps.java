package org.coriandercrank.experiment.internal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.coriandercrank.kernel.id.Key;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.load.CallRecord;
import org.coriandercrank.load.Execution;

/**
 * Times for which callers of a key waited for its new owner, from the history of a run. Immutable.
 *
 * <p>A key counts once per change of its owner, and only if a call of it was due before the new owner executed anything
 * of the interval, so that keys nobody called during the change do not lower the percentiles.
 */
public final class MoveGaps {
    private static final double NANOS_PER_MS = 1e6;

    /** The watch of the store shows a table a little after daemons may have seen it. */
    private static final long SEEN_LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Calls of a key in due order, and its executions by the caller's request id, each list by start. */
    private record KeyHistory(KeyHash hash, List<CallRecord> calls, Map<String, List<Execution>> executions) {}

    private final List<KeyHistory> keys = new ArrayList<>();

    /** Prepares the history of a run. */
    public MoveGaps(List<CallRecord> calls, List<Execution> executions) {
        Map<String, List<Execution>> executionsOfKey =
                executions.stream().collect(Collectors.groupingBy(Execution::key));
        calls.stream().collect(Collectors.groupingBy(CallRecord::key)).forEach((key, ofKey) -> {
            List<CallRecord> ordered = new ArrayList<>(ofKey);
            ordered.sort(Comparator.comparingLong(CallRecord::intendedNanos));
            List<Execution> executed = new ArrayList<>(executionsOfKey.getOrDefault(key, List.of()));
            executed.sort(Comparator.comparingLong(Execution::startNanos));
            Map<String, List<Execution>> byRequest =
                    executed.stream().collect(Collectors.groupingBy(Execution::callerRequestId));
            keys.add(new KeyHistory(new Key(key).hash(), ordered, byRequest));
        });
    }

    /**
     * Gaps of all keys at planned moves, in milliseconds, sorted. A gap lasts from the due time of the first call that
     * the previous owner did not execute to the start of its execution, or, if it failed, to the first execution of the
     * interval.
     */
    public List<Double> planned(List<OwnerChange> changes) {
        List<Double> gaps = new ArrayList<>();
        changes.forEach(change -> addGaps(change, change.observedNanos() - SEEN_LATE_NANOS, gaps));
        Collections.sort(gaps);
        return gaps;
    }

    /** Gaps of all keys of a lost owner in milliseconds, sorted, as above but for calls due after the loss. */
    public List<Double> takeover(List<OwnerChange> changes, long lostNanos) {
        List<Double> gaps = new ArrayList<>();
        changes.forEach(change -> addGaps(change, lostNanos, gaps));
        Collections.sort(gaps);
        return gaps;
    }

    private void addGaps(OwnerChange change, long fromNanos, List<Double> gaps) {
        List<KeyHistory> moved =
                keys.stream().filter(k -> change.range().contains(k.hash())).toList();
        OptionalLong servedNanos = moved.stream()
                .flatMap(k -> k.executions().values().stream())
                .flatMap(List::stream)
                .filter(e -> isByNewOwner(change, e))
                .mapToLong(Execution::startNanos)
                .min();
        if (servedNanos.isPresent()) {
            moved.forEach(key -> addGap(change, key, fromNanos, servedNanos.getAsLong(), gaps));
        }
    }

    private static void addGap(
            OwnerChange change, KeyHistory key, long fromNanos, long servedNanos, List<Double> gaps) {
        for (CallRecord call : key.calls()) {
            if (call.intendedNanos() < fromNanos) {
                continue;
            }
            if (call.intendedNanos() > servedNanos) {
                return;
            }
            List<Execution> own = key.executions().getOrDefault(call.requestId(), List.of());
            if (own.stream().allMatch(e -> isByNewOwner(change, e))) {
                long endNanos = own.isEmpty() ? servedNanos : own.get(0).startNanos();
                gaps.add((endNanos - call.intendedNanos()) / NANOS_PER_MS);
                return;
            }
        }
    }

    private static boolean isByNewOwner(OwnerChange change, Execution execution) {
        return execution.fence() >= change.generation().value();
    }

    /** A percentile by the nearest rank; 0 of an empty list. */
    public static double percentile(List<Double> sorted, double percent) {
        return sorted.isEmpty() ? 0 : sorted.get((int) Math.max(Math.ceil(percent / 100 * sorted.size()) - 1, 0));
    }
}
