package org.coriandercrank.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.coriandercrank.kernel.code.ResultCode;

/**
 * Measurements of one run. Immutable. Latency counts from the scheduled start of a call.
 *
 * @param outcomes number of calls by stated outcome; {@code no-answer} for calls without an outcome
 * @param resultCodes number of calls by result code; {@code NO_ANSWER} for calls that failed without one
 * @param unavailableKeySeconds total time over all keys in which a key was not served: from the scheduled start of a
 *     failed or late call to the next success of its key, or to the end of the last call for its key if none succeeds
 * @param longestGapMs longest such time of one key
 * @param imbalance number of executions of the busiest server divided by the mean of all servers, averaged over the
 *     seconds with executions; 0 without ledgers
 * @param perSecond time series for the plot
 */
public record LoadReport(
        long calls,
        long succeeded,
        double goodputPerSecond,
        double latencyP50Ms,
        double latencyP99Ms,
        double latencyMaxMs,
        Map<String, Long> outcomes,
        Map<String, Long> resultCodes,
        double unavailableKeySeconds,
        double longestGapMs,
        double imbalance,
        List<SecondStats> perSecond,
        List<Violation> violations) {
    private static final long MAX_LATENCY_US = TimeUnit.MINUTES.toMicros(2);
    private static final int HISTOGRAM_SIGNIFICANT_DIGITS = 3;
    private static final int MAX_PRINTED_VIOLATIONS = 5;
    private static final double US_PER_MS = 1e3;
    private static final double NANOS_PER_MS = 1e6;

    /**
     * A key counts as not served if no call for it succeeds within this time after the scheduled start of one of its
     * calls. This is the target for the unavailable time of a planned move.
     */
    private static final long LATE_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Measurements of one second of a run. Immutable.
     *
     * @param second number of the second from the start of the run, from 0
     */
    public record SecondStats(long second, long succeeded, long failed, double imbalance) {}

    public LoadReport {
        perSecond = List.copyOf(perSecond);
        violations = List.copyOf(violations);
    }

    /** Returns the report of a run. The start is on the clock of the calls and executions. */
    public static LoadReport of(long startedNanos, List<CallRecord> calls, List<Execution> executions) {
        return of(startedNanos, calls, executions, HistoryChecker.check(calls, executions));
    }

    /** Returns the report of a run whose ledgers are not available. */
    public static LoadReport withoutLedgers(long startedNanos, List<CallRecord> calls) {
        return of(startedNanos, calls, List.of(), HistoryChecker.checkWithoutLedgers(calls));
    }

    private static LoadReport of(
            long startedNanos, List<CallRecord> calls, List<Execution> executions, List<Violation> violations) {
        Histogram latencyHistogramUs = new Histogram(MAX_LATENCY_US, HISTOGRAM_SIGNIFICANT_DIGITS);
        Map<String, Long> outcomes = new TreeMap<>();
        Map<String, Long> resultCodes = new TreeMap<>();
        long succeeded = 0;
        long lastNanos = startedNanos + 1;
        for (CallRecord call : calls) {
            long callLatencyUs = TimeUnit.NANOSECONDS.toMicros(call.endedNanos() - call.intendedNanos());
            latencyHistogramUs.recordValue(Math.min(Math.max(callLatencyUs, 0), MAX_LATENCY_US));
            outcomes.merge(call.outcome().map(outcome -> outcome.headerValue()).orElse("no-answer"), 1L, Long::sum);
            resultCodes.merge(codeName(call.resultCode()), 1L, Long::sum);
            succeeded += call.succeeded() ? 1 : 0;
            lastNanos = Math.max(lastNanos, call.endedNanos());
        }
        List<Long> unavailableNanos = unavailableNanos(calls);
        List<SecondStats> seconds = perSecondStats(startedNanos, calls, executions);
        return new LoadReport(
                calls.size(),
                succeeded,
                succeeded / ((lastNanos - startedNanos) / NANOS_PER_SECOND),
                latencyHistogramUs.getValueAtPercentile(50) / US_PER_MS,
                latencyHistogramUs.getValueAtPercentile(99) / US_PER_MS,
                latencyHistogramUs.getMaxValue() / US_PER_MS,
                outcomes,
                resultCodes,
                unavailableNanos.stream().mapToLong(Long::longValue).sum() / NANOS_PER_SECOND,
                unavailableNanos.stream().mapToLong(Long::longValue).max().orElse(0) / NANOS_PER_MS,
                seconds.stream()
                        .mapToDouble(SecondStats::imbalance)
                        .filter(imbalance -> imbalance > 0)
                        .average()
                        .orElse(0),
                seconds,
                violations);
    }

    private static String codeName(int number) {
        return ResultCode.ofNumber(number).map(ResultCode::name).orElse("NO_ANSWER");
    }

    private static List<Long> unavailableNanos(List<CallRecord> calls) {
        List<Long> unavailableNanos = new ArrayList<>();
        calls.stream()
                .filter(call -> !call.key().isEmpty())
                .collect(Collectors.groupingBy(CallRecord::key))
                .values()
                .forEach(callsOfKey -> addUnavailableNanos(callsOfKey, unavailableNanos));
        return unavailableNanos;
    }

    /**
     * Adds the periods in which a key was not served: from the scheduled start of a failed or late call to the next
     * success of the key, or to the end of its last call if none succeeds. Overlapping periods are merged.
     */
    private static void addUnavailableNanos(List<CallRecord> callsOfKey, List<Long> unavailableNanos) {
        TreeSet<Long> successEndNanos = callsOfKey.stream()
                .filter(CallRecord::succeeded)
                .map(CallRecord::endedNanos)
                .collect(Collectors.toCollection(TreeSet::new));
        long lastEndNanos =
                callsOfKey.stream().mapToLong(CallRecord::endedNanos).max().orElse(0);
        List<CallRecord> ordered = new ArrayList<>(callsOfKey);
        ordered.sort(Comparator.comparingLong(CallRecord::intendedNanos));
        long coveredUntilNanos = Long.MIN_VALUE;
        for (CallRecord call : ordered) {
            Long nextSuccessNanos = successEndNanos.ceiling(call.intendedNanos());
            long untilNanos = nextSuccessNanos == null ? lastEndNanos : nextSuccessNanos;
            boolean notServed = !call.succeeded() || untilNanos - call.intendedNanos() > LATE_THRESHOLD_NANOS;
            if (notServed && untilNanos > coveredUntilNanos) {
                unavailableNanos.add(untilNanos - call.intendedNanos());
                coveredUntilNanos = untilNanos;
            }
        }
    }

    private static List<SecondStats> perSecondStats(
            long startedNanos, List<CallRecord> calls, List<Execution> executions) {
        Map<Long, long[]> callCountsBySecond = new TreeMap<>();
        for (CallRecord call : calls) {
            long second = (call.intendedNanos() - startedNanos) / (long) NANOS_PER_SECOND;
            callCountsBySecond.computeIfAbsent(second, s -> new long[2])[call.succeeded() ? 0 : 1]++;
        }
        Map<Long, Map<String, Long>> executionsBySecondAndServer = new HashMap<>();
        long servers = executions.stream().map(Execution::server).distinct().count();
        for (Execution execution : executions) {
            long second = Math.floorDiv(execution.endNanos() - startedNanos, (long) NANOS_PER_SECOND);
            executionsBySecondAndServer
                    .computeIfAbsent(second, s -> new HashMap<>())
                    .merge(execution.server(), 1L, Long::sum);
        }
        List<SecondStats> seconds = new ArrayList<>();
        callCountsBySecond.forEach((second, callCounts) -> seconds.add(new SecondStats(
                second, callCounts[0], callCounts[1], imbalance(executionsBySecondAndServer.get(second), servers))));
        return seconds;
    }

    private static double imbalance(Map<String, Long> executionsByServer, long servers) {
        if (executionsByServer == null || executionsByServer.isEmpty()) {
            return 0;
        }
        long total =
                executionsByServer.values().stream().mapToLong(Long::longValue).sum();
        long busiest = executionsByServer.values().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
        return busiest * servers / (double) total;
    }

    /** Returns a short summary as text. */
    public List<String> toLines() {
        List<String> lines = new ArrayList<>();
        lines.add(String.format("calls %d, succeeded %d, goodput %.1f/s", calls, succeeded, goodputPerSecond));
        lines.add(String.format(
                "latency from the schedule: p50 %.3f ms, p99 %.3f ms, max %.1f ms",
                latencyP50Ms, latencyP99Ms, latencyMaxMs));
        lines.add("outcomes " + outcomes + ", result codes " + resultCodes);
        lines.add(String.format(
                "unavailable %.3f key-seconds, longest gap of a key %.0f ms, imbalance %.3f",
                unavailableKeySeconds, longestGapMs, imbalance));
        lines.add("violations " + violations.size());
        violations.stream()
                .limit(MAX_PRINTED_VIOLATIONS)
                .forEach(violation -> lines.add("  " + violation.kind() + " " + violation.detail()));
        return lines;
    }
}
