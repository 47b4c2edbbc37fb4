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
    private static final long MAX_OBSERVATION_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Calls of a key in due order, and its executions by the caller's request id, each list by start. */
    private record KeyHistory(KeyHash hash, List<CallRecord> calls, Map<String, List<Execution>> executions) {}

    private final List<KeyHistory> keys = new ArrayList<>();

    /** Prepares the history of a run. */
    public MoveGaps(List<CallRecord> calls, List<Execution> executions) {
        Map<String, List<Execution>> executionsOfKey =
                executions.stream().collect(Collectors.groupingBy(Execution::key));
        calls.stream().collect(Collectors.groupingBy(CallRecord::key)).forEach((key, callsOfKey) -> {
            List<CallRecord> orderedCalls = new ArrayList<>(callsOfKey);
            orderedCalls.sort(Comparator.comparingLong(CallRecord::intendedNanos));
            List<Execution> orderedExecutions = new ArrayList<>(executionsOfKey.getOrDefault(key, List.of()));
            orderedExecutions.sort(Comparator.comparingLong(Execution::startNanos));
            Map<String, List<Execution>> executionsByRequestId =
                    orderedExecutions.stream().collect(Collectors.groupingBy(Execution::callerRequestId));
            keys.add(new KeyHistory(new Key(key).hash(), orderedCalls, executionsByRequestId));
        });
    }

    /**
     * Gaps of all keys at planned moves, in milliseconds, sorted. A gap lasts from the due time of the first call that
     * the previous owner did not execute to the start of its execution, or, if it failed, to the first execution of the
     * interval.
     */
    public List<Double> plannedMoveGapsMs(List<OwnerChange> changes) {
        List<Double> gapsMs = new ArrayList<>();
        changes.forEach(change -> addGaps(change, change.observedNanos() - MAX_OBSERVATION_DELAY_NANOS, gapsMs));
        Collections.sort(gapsMs);
        return gapsMs;
    }

    /** Gaps of all keys of a lost owner in milliseconds, sorted, as above but for calls due after the loss. */
    public List<Double> takeoverGapsMs(List<OwnerChange> changes, long lostNanos) {
        List<Double> gapsMs = new ArrayList<>();
        changes.forEach(change -> addGaps(change, lostNanos, gapsMs));
        Collections.sort(gapsMs);
        return gapsMs;
    }

    private void addGaps(OwnerChange change, long earliestDueNanos, List<Double> gapsMs) {
        List<KeyHistory> movedKeys =
                keys.stream().filter(key -> change.range().contains(key.hash())).toList();
        OptionalLong firstServedNanos = movedKeys.stream()
                .flatMap(key -> key.executions().values().stream())
                .flatMap(List::stream)
                .filter(execution -> isByNewOwner(change, execution))
                .mapToLong(Execution::startNanos)
                .min();
        if (firstServedNanos.isPresent()) {
            movedKeys.forEach(key -> addGap(change, key, earliestDueNanos, firstServedNanos.getAsLong(), gapsMs));
        }
    }

    private static void addGap(
            OwnerChange change, KeyHistory key, long earliestDueNanos, long firstServedNanos, List<Double> gapsMs) {
        for (CallRecord call : key.calls()) {
            if (call.intendedNanos() < earliestDueNanos) {
                continue;
            }
            if (call.intendedNanos() > firstServedNanos) {
                return;
            }
            List<Execution> executionsOfCall = key.executions().getOrDefault(call.requestId(), List.of());
            if (executionsOfCall.stream().allMatch(execution -> isByNewOwner(change, execution))) {
                long endNanos = executionsOfCall.isEmpty()
                        ? firstServedNanos
                        : executionsOfCall.get(0).startNanos();
                gapsMs.add((endNanos - call.intendedNanos()) / NANOS_PER_MS);
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
