package org.coriandercrank.experiment.internal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.load.Execution;

/**
 * Load imbalance of servers of equal capacity over the seconds of a run. Immutable. The imbalance of a second is the
 * number of executions of the busiest server divided by the mean number of executions per active server.
 *
 * @param meanImbalance mean over all seconds
 * @param p95Imbalance 95th percentile over all seconds
 * @param perSecond imbalance of each second
 */
public record ServerLoads(double meanImbalance, double p95Imbalance, List<Double> perSecond) {
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double P95_FRACTION = 0.95;

    /**
     * Period in which a server is expected to receive requests, relative to the start of the run. Immutable.
     *
     * @param untilMs end of the period, exclusive; {@link Long#MAX_VALUE} if the server stays active
     */
    public record ActivePeriod(long fromMs, long untilMs) {
        boolean contains(long ms) {
            return fromMs <= ms && ms < untilMs;
        }
    }

    public ServerLoads {
        perSecond = List.copyOf(perSecond);
    }

    /**
     * Computes the imbalance of every whole second of a run. A server counts as active if its period contains the start
     * of the second. Executions of inactive servers still count towards the total load, and an inactive server can be
     * the busiest one. The imbalance of a second without executions is 0.
     */
    public static ServerLoads of(
            long startedNanos, long durationMs, List<Execution> executions, Map<String, ActivePeriod> activePeriods) {
        int seconds = (int) TimeUnit.MILLISECONDS.toSeconds(durationMs);
        List<Map<String, Long>> executionsPerSecond = new ArrayList<>();
        for (int second = 0; second < seconds; second++) {
            executionsPerSecond.add(new HashMap<>());
        }
        for (Execution execution : executions) {
            long second = Math.floorDiv(execution.endNanos() - startedNanos, NANOS_PER_SECOND);
            if (second >= 0 && second < seconds) {
                executionsPerSecond.get((int) second).merge(execution.server(), 1L, Long::sum);
            }
        }
        List<Double> imbalances = new ArrayList<>();
        for (int second = 0; second < seconds; second++) {
            long ms = TimeUnit.SECONDS.toMillis(second);
            long activeServers = activePeriods.values().stream()
                    .filter(period -> period.contains(ms))
                    .count();
            imbalances.add(imbalance(executionsPerSecond.get(second), activeServers));
        }
        List<Double> sorted = new ArrayList<>(imbalances);
        Collections.sort(sorted);
        double mean = imbalances.stream().mapToDouble(v -> v).average().orElse(0);
        double p95 = sorted.isEmpty() ? 0 : sorted.get((int) Math.ceil(P95_FRACTION * sorted.size()) - 1);
        return new ServerLoads(mean, p95, imbalances);
    }

    private static double imbalance(Map<String, Long> executionsByServer, long activeServers) {
        long total = executionsByServer.values().stream().mapToLong(v -> v).sum();
        long busiest =
                executionsByServer.values().stream().mapToLong(v -> v).max().orElse(0);
        return total == 0 || activeServers == 0 ? 0 : busiest * (double) activeServers / total;
    }
}
