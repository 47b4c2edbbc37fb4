package org.coriandercrank.daemon;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.coriandercrank.kernel.time.MonotonicClock;
import org.coriandercrank.kernel.time.TimerService;

/** Timer service on the event loop of the network. Thread safe. */
public final class EventLoopTimers implements TimerService {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long REJECTED_RETRY_MS = 5;

    private final EventLoop loop;
    private volatile boolean closed;

    public EventLoopTimers(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public MonotonicClock clock() {
        return MonotonicClock.SYSTEM;
    }

    @Override
    public Subscription every(long periodMs, Executor executor, Runnable task) {
        AtomicBoolean queued = new AtomicBoolean();
        Future<?> future = loop.scheduleWithFixedDelay(
                () -> dispatchPeriodic(executor, task, queued), periodMs, periodMs, TimeUnit.MILLISECONDS);
        return () -> future.cancel(false);
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
        }
    }

    @Override
    public Subscription once(long delayMs, Executor executor, Runnable task) {
        AtomicBoolean cancelled = new AtomicBoolean();
        Runnable unlessCancelled = () -> {
            if (!cancelled.get()) {
                task.run();
            }
        };
        Future<?> future = loop.schedule(() -> dispatch(executor, unlessCancelled), delayMs, TimeUnit.MILLISECONDS);
        return () -> {
            cancelled.set(true);
            future.cancel(false);
        };
    }

    private void dispatch(Executor executor, Runnable task) {
        if (closed) {
            return;
        }
        try {
            executor.execute(task);
        } catch (RejectedExecutionException e) {
            logger.atFine().withCause(e).log("event=timer-retry reason=duty-full");
            loop.schedule(() -> dispatch(executor, task), REJECTED_RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void close() {
        closed = true;
    }
}
