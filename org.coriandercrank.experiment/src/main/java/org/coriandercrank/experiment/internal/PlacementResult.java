package org.coriandercrank.experiment.internal;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Result of one run of the placement experiment. Immutable.
 *
 * @param failedByCode number of failed calls by result code
 * @param loads load imbalance of the servers
 * @param churn extent of ownership changes
 * @param unavailableKeySeconds total time over all keys in which a key was not served
 * @param planned waiting times of callers at planned moves
 * @param takeover waiting times of callers after the kill of a host
 * @param violations violated guarantees
 * @param failedPerSecond number of failed calls by the second in which they were scheduled to start
 * @param loadAverage load average of the whole machine at the end of the run, other programs included
 */
record PlacementResult(
        String policy,
        long seed,
        int ratePerSecond,
        long durationMs,
        long calls,
        long failedCalls,
        Map<String, Long> failedByCode,
        double latencyP50Ms,
        double latencyP99Ms,
        ServerLoads loads,
        Churn churn,
        double unavailableKeySeconds,
        Gaps planned,
        Gaps takeover,
        List<String> violations,
        List<Long> failedPerSecond,
        double loadAverage) {
    /**
     * Percentiles of the times for which callers waited for the new owner of a key. Immutable.
     *
     * @param keys number of these times; a key counts once per change of its owner
     */
    record Gaps(int keys, double p50Ms, double p99Ms, double maxMs) {
        static Gaps of(List<Double> sortedMs) {
            return new Gaps(
                    sortedMs.size(),
                    MoveGaps.percentile(sortedMs, 50),
                    MoveGaps.percentile(sortedMs, 99),
                    MoveGaps.percentile(sortedMs, 100));
        }

        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%.0f, %.0f, %.0f (%d)", p50Ms, p99Ms, maxMs, keys);
        }
    }

    static final String TABLE_HEADING = """
            | policy | seed | imbalance, mean | imbalance, p95 | hash space moved | moves | failed calls | key-seconds unavailable \
            | gap of a planned move, ms: p50, p99, max (keys) | gap after the kill, ms | violations | load average |
            |---|---|---|---|---|---|---|---|---|---|---|---|""";

    PlacementResult {
        failedByCode = Map.copyOf(failedByCode);
        violations = List.copyOf(violations);
        failedPerSecond = List.copyOf(failedPerSecond);
    }

    /** Returns the row of the Markdown table for this result. */
    String toTableRow() {
        return String.format(
                Locale.ROOT,
                "| %s | %d | %.3f | %.3f | %.2f | %d | %d of %d | %.1f | %s | %s | %d | %.0f |",
                policy,
                seed,
                loads.meanImbalance(),
                loads.p95Imbalance(),
                churn.movedShare(),
                churn.moves(),
                failedCalls,
                calls,
                unavailableKeySeconds,
                planned,
                takeover,
                violations.size(),
                loadAverage);
    }
}
