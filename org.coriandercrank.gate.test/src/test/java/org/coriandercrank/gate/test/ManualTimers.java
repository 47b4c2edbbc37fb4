package org.coriandercrank.gate.test;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.time.MonotonicClock;
import org.coriandercrank.kernel.time.TimerService;

/** Virtual time and the single task queue that stands for the thread of the gate. Not thread safe. */
final class ManualTimers implements TimerService, Executor {
    private record Due(long atNanos, long order, Runnable task) {}

    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingLong(Due::atNanos).thenComparingLong(Due::order));
    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private long nowNanos = TimeUnit.HOURS.toNanos(1);
    private long order;

    @Override
    public MonotonicClock clock() {
        return () -> nowNanos;
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
    }

    @Override
    public Subscription every(long periodMs, Executor executor, Runnable task) {
        return once(periodMs, executor, () -> {
            task.run();
            every(periodMs, executor, task);
        });
    }

    @Override
    public Subscription once(long delayMs, Executor executor, Runnable task) {
        Due entry = new Due(nowNanos + TimeUnit.MILLISECONDS.toNanos(delayMs), order++, () -> executor.execute(task));
        due.add(entry);
        return () -> due.remove(entry);
    }

    void at(long atNanos, Runnable task) {
        due.add(new Due(Math.max(atNanos, nowNanos), order++, task));
    }

    void after(double delayMs, Runnable task) {
        at(nowNanos + (long) (delayMs * 1e6), task);
    }

    /** Runs what is queued without letting time pass. */
    void settle() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
    }

    void advanceMs(double ms) {
        long untilNanos = nowNanos + (long) (ms * 1e6);
        settle();
        while (!due.isEmpty() && due.peek().atNanos() <= untilNanos) {
            Due next = due.poll();
            nowNanos = Math.max(nowNanos, next.atNanos());
            next.task().run();
            settle();
        }
        nowNanos = untilNanos;
        settle();
    }

    @Override
    public void close() {
        due.clear();
    }
}
