package org.coriandercrank.daemon.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.coriandercrank.kernel.concurrent.SerialExecutor;
import org.coriandercrank.kernel.time.MonotonicClock;
import org.coriandercrank.kernel.time.TimerService;

/**
 * A process that can be killed, and suspended while time passes. Everything that it does runs in {@link #run}. Not
 * thread safe.
 */
final class SimulatedProcess {
    private final SimulatedTime time;
    private final String name;
    private final Trace trace;
    private final List<Runnable> suspendedTasks = new ArrayList<>();
    private boolean killed;
    private boolean suspended;

    SimulatedProcess(SimulatedTime time, String name, Trace trace) {
        this.time = time;
        this.name = name;
        this.trace = trace;
    }

    boolean isKilled() {
        return killed;
    }

    void kill() {
        killed = true;
        suspendedTasks.clear();
    }

    void suspend() {
        suspended = true;
    }

    void resume() {
        suspended = false;
        List<Runnable> tasks = List.copyOf(suspendedTasks);
        suspendedTasks.clear();
        tasks.forEach(task -> time.schedule(0, () -> run(task)));
    }

    /** Runs a task now, after the process is resumed, or never if it is killed first. */
    void run(Runnable task) {
        if (killed) {
            return;
        }
        if (suspended) {
            suspendedTasks.add(task);
            return;
        }
        trace.runAs(name, task);
    }

    /** Runs a task of this process after a delay. */
    void schedule(long delayMs, Runnable task) {
        time.schedule(delayMs, () -> run(task));
    }

    SerialExecutor.Factory executors() {
        return (executorName, capacity) -> new ProcessExecutor();
    }

    TimerService timers() {
        return new ProcessTimers();
    }

    private final class ProcessExecutor implements SerialExecutor {
        private boolean closed;

        @Override
        public boolean offer(Runnable task) {
            if (closed) {
                return false;
            }
            schedule(0, task);
            return true;
        }

        @Override
        public void execute(Runnable task) {
            if (!offer(task)) {
                throw new RejectedExecutionException("closed");
            }
        }

        @Override
        public void close() {
            closed = true;
        }
    }

    private final class ProcessTimers implements TimerService {
        @Override
        public MonotonicClock clock() {
            return time.clock();
        }

        @Override
        public Subscription every(long periodMs, Executor executor, Runnable task) {
            boolean[] cancelled = {false};
            scheduleNext(periodMs, executor, task, cancelled);
            return () -> cancelled[0] = true;
        }

        /** Schedules the next run only after the previous one; the real service skips runs while one is queued. */
        private void scheduleNext(long periodMs, Executor executor, Runnable task, boolean[] cancelled) {
            onceUnlessCancelled(periodMs, executor, cancelled, () -> {
                scheduleNext(periodMs, executor, task, cancelled);
                task.run();
            });
        }

        @Override
        public Subscription once(long delayMs, Executor executor, Runnable task) {
            boolean[] cancelled = {false};
            onceUnlessCancelled(delayMs, executor, cancelled, task);
            return () -> cancelled[0] = true;
        }

        private void onceUnlessCancelled(long delayMs, Executor executor, boolean[] cancelled, Runnable task) {
            schedule(delayMs, () -> {
                if (!cancelled[0]) {
                    offer(executor, () -> {
                        if (!cancelled[0]) {
                            task.run();
                        }
                    });
                }
            });
        }

        private void offer(Executor executor, Runnable task) {
            if (executor instanceof SerialExecutor serial) {
                serial.offer(task);
            } else {
                executor.execute(task);
            }
        }

        @Override
        public void close() {}
    }
}
