package org.coriandercrank.daemon;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.coriandercrank.kernel.concurrent.SerialExecutor;
import org.coriandercrank.kernel.time.MonotonicClock;

/**
 * Creates the serial executors of an event loop and measures for how long their tasks hold its thread.
 *
 * <p>Executors may be created on any thread; {@link #report} runs on the event loop, like the tasks. Time that no task
 * accounts for went to the network, to timers, or to other processes of the host.
 */
public final class EventLoopMeter implements SerialExecutor.Factory {
    private static final long NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

    /** The tasks of one executor since the latest report. */
    private static final class Usage {
        private long tasks;
        private long totalNanos;
        private long longestNanos;

        private void add(long nanos) {
            tasks++;
            totalNanos += nanos;
            longestNanos = Math.max(longestNanos, nanos);
        }

        private String describe(String name) {
            return name + ":tasks=" + tasks + ",ms=" + totalNanos / NANOS_PER_MS + ",longestMs="
                    + longestNanos / NANOS_PER_MS;
        }
    }

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final long minPauseNanos;
    private final Map<String, Usage> usages = new TreeMap<>();
    private long lastReportNanos;

    /** @param minPauseMs a report that comes later than this after the previous one describes the tasks in between */
    public EventLoopMeter(EventLoop loop, MonotonicClock clock, long minPauseMs) {
        this.loop = loop;
        this.clock = clock;
        minPauseNanos = TimeUnit.MILLISECONDS.toNanos(minPauseMs);
        lastReportNanos = clock.nowNanos();
    }

    @Override
    public SerialExecutor create(String name, int capacity) {
        return new EventLoopExecutor(name, loop, capacity, this);
    }

    long nowNanos() {
        return clock.nowNanos();
    }

    void onTaskEnd(String name, long nanos) {
        usages.computeIfAbsent(name, n -> new Usage()).add(nanos);
    }

    /**
     * Ends a period; call it regularly on the event loop.
     *
     * @return if the period was a pause, its length and the tasks that ran in it, those of the busiest executor first
     */
    public Optional<String> report() {
        long nowNanos = clock.nowNanos();
        long gapNanos = nowNanos - lastReportNanos;
        lastReportNanos = nowNanos;
        Optional<String> report = gapNanos > minPauseNanos ? Optional.of(describe(gapNanos)) : Optional.empty();
        usages.clear();
        return report;
    }

    private String describe(long gapNanos) {
        List<Map.Entry<String, Usage>> busiest = new ArrayList<>(usages.entrySet());
        busiest.sort(Comparator.comparingLong(entry -> -entry.getValue().totalNanos));
        return "gapMs=" + gapNanos / NANOS_PER_MS
                + busiest.stream()
                        .map(entry -> " " + entry.getValue().describe(entry.getKey()))
                        .collect(Collectors.joining());
    }
}
