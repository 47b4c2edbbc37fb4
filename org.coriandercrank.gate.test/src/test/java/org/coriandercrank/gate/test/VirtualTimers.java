package org.coriandercrank.gate.test;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.time.MonotonicClock;
import org.coriandercrank.kernel.time.TimerService;

/** Timers in virtual time, and an executor that represents the thread of the gate. Not thread safe. */
final class VirtualTimers implements TimerService, Executor {
    private record ScheduledTask(long dueAtNanos, long sequence, Runnable task) {}

    private final PriorityQueue<ScheduledTask> scheduled = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledTask::dueAtNanos).thenComparingLong(ScheduledTask::sequence));
    private final Deque<Runnable> queuedTasks = new ArrayDeque<>();
    private long nowNanos = TimeUnit.HOURS.toNanos(1);
    private long nextSequence;

    @Override
    public MonotonicClock clock() {
        return () -> nowNanos;
    }

    @Override
    public void execute(Runnable task) {
        queuedTasks.add(task);
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
        ScheduledTask entry = new ScheduledTask(
                nowNanos + TimeUnit.MILLISECONDS.toNanos(delayMs), nextSequence++, () -> executor.execute(task));
        scheduled.add(entry);
        return () -> scheduled.remove(entry);
    }

    void scheduleAt(long dueAtNanos, Runnable task) {
        scheduled.add(new ScheduledTask(Math.max(dueAtNanos, nowNanos), nextSequence++, task));
    }

    void scheduleAfter(double delayMs, Runnable task) {
        scheduleAt(nowNanos + (long) (delayMs * 1e6), task);
    }

    /** Runs all queued tasks without advancing the time. */
    void runQueuedTasks() {
        for (Runnable task = queuedTasks.poll(); task != null; task = queuedTasks.poll()) {
            task.run();
        }
    }

    /** Advances the time and runs all tasks that become due. */
    void advanceMs(double ms) {
        long untilNanos = nowNanos + (long) (ms * 1e6);
        runQueuedTasks();
        while (!scheduled.isEmpty() && scheduled.peek().dueAtNanos() <= untilNanos) {
            ScheduledTask next = scheduled.poll();
            nowNanos = Math.max(nowNanos, next.dueAtNanos());
            next.task().run();
            runQueuedTasks();
        }
        nowNanos = untilNanos;
        runQueuedTasks();
    }

    @Override
    public void close() {
        scheduled.clear();
    }
}
