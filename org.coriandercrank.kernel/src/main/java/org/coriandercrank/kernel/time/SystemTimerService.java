package org.coriandercrank.kernel.time;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** Timer service on one daemon thread. Thread safe. */
public final class SystemTimerService implements TimerService {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long REJECTED_RETRY_MS = 5;

    private final ScheduledThreadPoolExecutor scheduler = new ScheduledThreadPoolExecutor(1, task -> {
        Thread thread = new Thread(task, "timer");
        thread.setDaemon(true);
        return thread;
    });

    public SystemTimerService() {
        scheduler.setRemoveOnCancelPolicy(true);
        scheduler.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    @Override
    public MonotonicClock clock() {
        return MonotonicClock.SYSTEM;
    }

    @Override
    public Subscription every(long periodMs, Executor executor, Runnable task) {
        AtomicBoolean queued = new AtomicBoolean();
        Future<?> future = scheduler.scheduleWithFixedDelay(
                () -> dispatchPeriodic(executor, task, queued), periodMs, periodMs, TimeUnit.MILLISECONDS);
        return () -> future.cancel(false);
    }

    @Override
    public Subscription once(long delayMs, Executor executor, Runnable task) {
        AtomicBoolean cancelled = new AtomicBoolean();
        Runnable unlessCancelled = () -> {
            if (!cancelled.get()) {
                task.run();
            }
        };
        Future<?> future =
                scheduler.schedule(() -> dispatchOnce(executor, unlessCancelled), delayMs, TimeUnit.MILLISECONDS);
        return () -> {
            cancelled.set(true);
            future.cancel(false);
        };
    }

    private void dispatchPeriodic(Executor executor, Runnable task, AtomicBoolean queued) {
        if (!queued.compareAndSet(false, true)) {
            return;
        }
        try {
            executor.execute(() -> {
                queued.set(false);
                task.run();
            });
        } catch (RejectedExecutionException e) {
            queued.set(false);
        } catch (RuntimeException e) {
            // Only an executor that runs the task at once gets here; a thrown failure would end the subscription.
            logger.atSevere().withCause(e).log("event=timer-task-failed");
        }
    }

    private void dispatchOnce(Executor executor, Runnable task) {
        try {
            executor.execute(task);
        } catch (RejectedExecutionException e) {
            logger.atFine().log("event=timer-retry reason=ring-full");
            retryLater(executor, task);
        }
    }

    private void retryLater(Executor executor, Runnable task) {
        try {
            scheduler.schedule(() -> dispatchOnce(executor, task), REJECTED_RETRY_MS, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            logger.atFine().log("event=timer-stopped");
        }
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }
}
