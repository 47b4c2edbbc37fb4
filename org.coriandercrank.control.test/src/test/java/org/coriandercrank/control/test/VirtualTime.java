package org.coriandercrank.control.test;

import java.util.PriorityQueue;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import org.coriandercrank.kernel.time.MonotonicClock;
import org.coriandercrank.kernel.time.TimerService;

/** Event queue with a virtual clock, which runs all events on the calling thread. Not thread safe. */
final class VirtualTime {
    private static final long NANOS_PER_MS = 1_000_000;

    private record Event(long atNanos, long order, Runnable task) {}

    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) ->
            a.atNanos() != b.atNanos() ? Long.compare(a.atNanos(), b.atNanos()) : Long.compare(a.order(), b.order()));
    private long lastOrder;
    private long nowNanos = 1_000 * NANOS_PER_MS;

    long nowMs() {
        return nowNanos / NANOS_PER_MS;
    }

    void schedule(long delayMs, Runnable task) {
        lastOrder++;
        events.add(new Event(nowNanos + delayMs * NANOS_PER_MS, lastOrder, task));
    }

    void runFor(long durationMs) {
        runUntil(() -> false, durationMs);
    }

    /** Runs until the condition holds; returns the elapsed time in ms, or -1 if the limit was reached first. */
    long runUntil(BooleanSupplier condition, long limitMs) {
        long startNanos = nowNanos;
        long endNanos = nowNanos + limitMs * NANOS_PER_MS;
        while (!condition.getAsBoolean()) {
            if (events.isEmpty() || events.peek().atNanos() > endNanos) {
                nowNanos = endNanos;
                return -1;
            }
            Event event = events.poll();
            nowNanos = Math.max(nowNanos, event.atNanos());
            event.task().run();
        }
        return (nowNanos - startNanos) / NANOS_PER_MS;
    }

    /** Returns a timer service that uses this clock. */
    TimerService timers() {
        return new TimerService() {
            @Override
            public MonotonicClock clock() {
                return () -> nowNanos;
            }

            @Override
            public Subscription every(long periodMs, Executor executor, Runnable task) {
                boolean[] cancelled = {false};
                schedulePeriodically(periodMs, executor, task, cancelled);
                return () -> cancelled[0] = true;
            }

            @Override
            public Subscription once(long delayMs, Executor executor, Runnable task) {
                boolean[] cancelled = {false};
                schedule(
                        delayMs,
                        () -> executor.execute(() -> {
                            if (!cancelled[0]) {
                                task.run();
                            }
                        }));
                return () -> cancelled[0] = true;
            }

            @Override
            public void close() {}
        };
    }

    /** Schedules the next run only after the previous one; the real service also skips a run while one is queued. */
    private void schedulePeriodically(long periodMs, Executor executor, Runnable task, boolean[] cancelled) {
        schedule(
                periodMs,
                () -> executor.execute(() -> {
                    if (!cancelled[0]) {
                        task.run();
                        schedulePeriodically(periodMs, executor, task, cancelled);
                    }
                }));
    }
}
