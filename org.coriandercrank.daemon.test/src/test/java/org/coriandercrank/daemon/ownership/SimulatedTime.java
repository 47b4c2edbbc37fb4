package org.coriandercrank.daemon.ownership;

import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import org.coriandercrank.kernel.time.MonotonicClock;

/** Event queue with a virtual clock, which runs all events on the calling thread. Not thread safe. */
final class SimulatedTime {
    private static final long NANOS_PER_MS = 1_000_000;

    private record Event(long atNanos, long order, Runnable task) {}

    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) ->
            a.atNanos() != b.atNanos() ? Long.compare(a.atNanos(), b.atNanos()) : Long.compare(a.order(), b.order()));
    private long lastOrder;
    private long nowNanos = 1_000 * NANOS_PER_MS;

    long nowMs() {
        return nowNanos / NANOS_PER_MS;
    }

    MonotonicClock clock() {
        return () -> nowNanos;
    }

    /** Runs a task after a delay; tasks of the same time run in the order in which they were scheduled. */
    void schedule(long delayMs, Runnable task) {
        lastOrder++;
        events.add(new Event(nowNanos + delayMs * NANOS_PER_MS, lastOrder, task));
    }

    /** Runs events until the condition holds; returns whether it did before the limit was reached. */
    boolean runUntil(BooleanSupplier condition, long limitMs) {
        long endNanos = nowNanos + limitMs * NANOS_PER_MS;
        while (!condition.getAsBoolean()) {
            if (events.isEmpty() || events.peek().atNanos() > endNanos) {
                nowNanos = endNanos;
                return false;
            }
            Event event = events.poll();
            nowNanos = Math.max(nowNanos, event.atNanos());
            event.task().run();
        }
        return true;
    }
}
