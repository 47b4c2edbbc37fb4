package org.coriandercrank.kernel.time;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** Timer service on a daemon thread of its own or on a scheduler that the caller provides. Thread safe. */
public final class SystemTimerService implements TimerService {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long REJECTED_TASK_RETRY_MS = 5;

    private final ScheduledExecutorService scheduler;
    private final Runnable shutdownAction;
    private volatile boolean closed;

    private SystemTimerService(ScheduledExecutorService scheduler, Runnable shutdownAction) {
        this.scheduler = scheduler;
        this.shutdownAction = shutdownAction;
    }

    /** A service with a thread of its own. */
    public SystemTimerService() {
        this(newScheduler());
    }

    private SystemTimerService(ScheduledThreadPoolExecutor ownScheduler) {
        this(ownScheduler, ownScheduler::shutdownNow);
    }

    /** A service on the scheduler of the caller, which is not shut down when the service is closed. */
    public static SystemTimerService on(ScheduledExecutorService scheduler) {
        return new SystemTimerService(scheduler, () -> {});
    }

    private static ScheduledThreadPoolExecutor newScheduler() {
        ScheduledThreadPoolExecutor scheduler = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "timer");
            thread.setDaemon(true);
            return thread;
        });
        scheduler.setRemoveOnCancelPolicy(true);
        scheduler.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        return scheduler;
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
        if (closed || !queued.compareAndSet(false, true)) {
            return;
        }
        try {
            executor.execute(() -> {
                queued.set(false);
                task.run();
            });
        } catch (RejectedExecutionException e) {
            logger.atFine().withCause(e).log("event=timer-run-left-out reason=duty-full");
            queued.set(false);
        } catch (RuntimeException e) {
            // The executor ran the task immediately, and the task failed. Rethrowing would end the subscription.
            logger.atSevere().withCause(e).log("event=timer-task-failed");
        }
    }

    private void dispatchOnce(Executor executor, Runnable task) {
        if (closed) {
            return;
        }
        try {
            executor.execute(task);
        } catch (RejectedExecutionException e) {
            logger.atFine().log("event=timer-retry reason=duty-full");
            retryLater(executor, task);
        }
    }

    private void retryLater(Executor executor, Runnable task) {
        try {
            scheduler.schedule(() -> dispatchOnce(executor, task), REJECTED_TASK_RETRY_MS, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The scheduler was shut down.
            logger.atFine().log("event=timer-stopped");
        }
    }

    @Override
    public void close() {
        closed = true;
        shutdownAction.run();
    }
}
