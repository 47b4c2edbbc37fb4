package org.coriandercrank.experiment.internal;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.load.CallRecord;

/**
 * Goodput and latency of one group of calls of an overload run. Immutable. Latency counts from the scheduled start.
 *
 * @param goodputPerSecond number of successful calls per second of the schedule
 * @param p50Ms median latency of successful calls
 * @param p99Ms 99th percentile of the latency of successful calls
 * @param refusedP99Ms 99th percentile of the latency of calls that were answered as not run; 0 if there are none
 * @param outcomes number of calls by result code; {@code NO_ANSWER} for calls without a result code
 */
record OverloadResult(
        String name,
        long calls,
        double goodputPerSecond,
        double p50Ms,
        double p99Ms,
        double refusedP99Ms,
        Map<String, Long> outcomes) {
    private static final long MAX_LATENCY_US = TimeUnit.MINUTES.toMicros(2);
    private static final int HISTOGRAM_SIGNIFICANT_DIGITS = 3;
    private static final double MS_PER_SECOND = 1e3;
    private static final double US_PER_MS = 1e3;

    static final String TABLE_HEADING = """
            | run | calls | goodput/s | success, ms: p50, p99 | refused, ms: p99 | outcomes |
            |---|---|---|---|---|---|""";

    OverloadResult {
        outcomes = Map.copyOf(outcomes);
    }

    static OverloadResult of(String name, long durationMs, List<CallRecord> calls) {
        Histogram successLatencyUs = new Histogram(MAX_LATENCY_US, HISTOGRAM_SIGNIFICANT_DIGITS);
        Histogram refusedLatencyUs = new Histogram(MAX_LATENCY_US, HISTOGRAM_SIGNIFICANT_DIGITS);
        Map<String, Long> outcomes = new TreeMap<>();
        for (CallRecord call : calls) {
            long latencyUs = TimeUnit.NANOSECONDS.toMicros(call.endedNanos() - call.intendedNanos());
            long boundedLatencyUs = Math.min(Math.max(latencyUs, 0), MAX_LATENCY_US);
            if (call.succeeded()) {
                successLatencyUs.recordValue(boundedLatencyUs);
            } else if (call.outcome().equals(Optional.of(Outcome.NOT_RUN))) {
                refusedLatencyUs.recordValue(boundedLatencyUs);
            }
            outcomes.merge(
                    ResultCode.ofNumber(call.resultCode()).map(ResultCode::name).orElse("NO_ANSWER"), 1L, Long::sum);
        }
        return new OverloadResult(
                name,
                calls.size(),
                successLatencyUs.getTotalCount() / (durationMs / MS_PER_SECOND),
                successLatencyUs.getValueAtPercentile(50) / US_PER_MS,
                successLatencyUs.getValueAtPercentile(99) / US_PER_MS,
                refusedLatencyUs.getTotalCount() == 0 ? 0 : refusedLatencyUs.getValueAtPercentile(99) / US_PER_MS,
                outcomes);
    }

    /** Returns the row of the Markdown table for this result. */
    String toTableRow() {
        return String.format(
                Locale.ROOT,
                "| %s | %d | %.0f | %.1f, %.1f | %.1f | %s |",
                name,
                calls,
                goodputPerSecond,
                p50Ms,
                p99Ms,
                refusedP99Ms,
                new TreeMap<>(outcomes));
    }
}
