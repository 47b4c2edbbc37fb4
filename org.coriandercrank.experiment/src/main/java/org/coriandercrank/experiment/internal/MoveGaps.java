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
 * Computes the gaps at ownership changes from the history of a run. A gap is the time for which callers waited for the
 * new owner of a key. Immutable.
 *
 * <p>A key counts once per change of its owner, and only if a call for it was scheduled before the new owner first
 * executed a request for the moved range. Keys without calls during the change are left out, because they would lower
 * the percentiles.
 */
public final class MoveGaps {
    private static final double NANOS_PER_MS = 1e6;

    /** Time by which a daemon may receive a table earlier than the experiment reads it from the store. */
    private static final long OBSERVATION_DELAY_ALLOWANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /**
     * Calls and executions of one key. Immutable.
     *
     * @param calls in the order of their scheduled start
     * @param executions by request id of the caller, each list in the order of their start
     */
    private record KeyHistory(KeyHash hash, List<CallRecord> calls, Map<String, List<Execution>> executions) {}

    private final List<KeyHistory> keys = new ArrayList<>();

    /** Groups the history of a run by key. */
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
     * Returns the gaps of all keys at planned moves in milliseconds, in ascending order. A gap starts at the scheduled
     * start of the first call that the previous owner did not execute. It ends at the start of the execution of that
     * call or, if the call was not executed, at the first execution by the new owner for any key of the range.
     */
    public List<Double> plannedMoveGapsMs(List<OwnerChange> changes) {
        List<Double> gapsMs = new ArrayList<>();
        changes.forEach(change -> addGaps(change, change.observedNanos() - OBSERVATION_DELAY_ALLOWANCE_NANOS, gapsMs));
        Collections.sort(gapsMs);
        return gapsMs;
    }

    /**
     * Returns the gaps of all keys of a lost owner in milliseconds, in ascending order. They are computed as for
     * planned moves, but only from calls that were scheduled after the loss.
     */
    public List<Double> takeoverGapsMs(List<OwnerChange> changes, long lostNanos) {
        List<Double> gapsMs = new ArrayList<>();
        changes.forEach(change -> addGaps(change, lostNanos, gapsMs));
        Collections.sort(gapsMs);
        return gapsMs;
    }

    private void addGaps(OwnerChange change, long earliestStartNanos, List<Double> gapsMs) {
        List<KeyHistory> movedKeys =
                keys.stream().filter(key -> change.range().contains(key.hash())).toList();
        OptionalLong firstServedNanos = movedKeys.stream()
                .flatMap(key -> key.executions().values().stream())
                .flatMap(List::stream)
                .filter(execution -> isByNewOwner(change, execution))
                .mapToLong(Execution::startNanos)
                .min();
        if (firstServedNanos.isPresent()) {
            movedKeys.forEach(key -> addGap(change, key, earliestStartNanos, firstServedNanos.getAsLong(), gapsMs));
        }
    }

    private static void addGap(
            OwnerChange change, KeyHistory key, long earliestStartNanos, long firstServedNanos, List<Double> gapsMs) {
        for (CallRecord call : key.calls()) {
            if (call.intendedNanos() < earliestStartNanos) {
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

    /** Returns a percentile of a sorted list by the nearest-rank method; 0 for an empty list. */
    public static double percentile(List<Double> sorted, double percent) {
        return sorted.isEmpty() ? 0 : sorted.get((int) Math.max(Math.ceil(percent / 100 * sorted.size()) - 1, 0));
    }
}
