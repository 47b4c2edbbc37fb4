package org.coriandercrank.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.coriandercrank.kernel.time.SystemTimerService;
import org.coriandercrank.kernel.time.TimerService.Subscription;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against timed tasks that are lost, accumulate in the queue of a slow executor, or run after their
 * cancellation.
 */
@Timeout(20)
class SystemTimerServiceTest {
    private static final long PERIOD_MS = 5;
    private static final long OBSERVATION_MS = 60;

    private final SystemTimerService timers = new SystemTimerService();
    private final AtomicInteger runs = new AtomicInteger();

    @AfterEach
    void close() {
        timers.close();
    }

    private static void waitUntil(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            sleep(1);
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    private void assertNoFurtherRuns() {
        int before = runs.get();
        sleep(OBSERVATION_MS);
        assertThat(runs).hasValue(before);
    }

    @Test
    void periodicTaskRunsUntilItIsCancelled() {
        Subscription subscription = timers.every(PERIOD_MS, Runnable::run, runs::incrementAndGet);
        waitUntil(() -> runs.get() >= 3);
        subscription.cancel();
        sleep(PERIOD_MS);
        assertNoFurtherRuns();
    }

    @Test
    void periodicTaskIsQueuedAtMostOnce() {
        AtomicReference<Runnable> queued = new AtomicReference<>();
        AtomicInteger dispatches = new AtomicInteger();
        timers.every(
                PERIOD_MS,
                task -> {
                    dispatches.incrementAndGet();
                    queued.set(task);
                },
                runs::incrementAndGet);
        waitUntil(() -> queued.get() != null);
        sleep(OBSERVATION_MS);
        assertThat(dispatches).hasValue(1);
        queued.getAndSet(null).run();
        waitUntil(() -> queued.get() != null);
        assertThat(dispatches).hasValue(2);
    }

    @Test
    void periodicTaskContinuesAfterRejectionAndFailure() {
        AtomicInteger dispatches = new AtomicInteger();
        timers.every(
                PERIOD_MS,
                task -> {
                    if (dispatches.incrementAndGet() <= 2) {
                        throw new RejectedExecutionException("full");
                    }
                    task.run();
                },
                () -> {
                    if (runs.incrementAndGet() == 1) {
                        throw new IllegalStateException("expected");
                    }
                });
        waitUntil(() -> runs.get() >= 3);
    }

    @Test
    void delayedTaskRunsOnceAndIsRetriedAfterRejection() {
        long startNanos = timers.clock().nowNanos();
        AtomicInteger dispatches = new AtomicInteger();
        CompletableFuture<Long> ranNanos = new CompletableFuture<>();
        timers.once(
                20,
                task -> {
                    if (dispatches.incrementAndGet() <= 3) {
                        throw new RejectedExecutionException("full");
                    }
                    task.run();
                },
                () -> {
                    runs.incrementAndGet();
                    ranNanos.complete(timers.clock().nowNanos());
                });
        assertThat(ranNanos.join() - startNanos).isGreaterThanOrEqualTo(TimeUnit.MILLISECONDS.toNanos(20));
        assertThat(dispatches).hasValue(4);
        assertNoFurtherRuns();
    }

    @Test
    void cancelledDelayedTaskDoesNotRunEvenIfQueued() {
        AtomicReference<Runnable> queued = new AtomicReference<>();
        Subscription subscription = timers.once(1, queued::set, runs::incrementAndGet);
        waitUntil(() -> queued.get() != null);
        subscription.cancel();
        queued.get().run();
        timers.once(10, Runnable::run, runs::incrementAndGet).cancel();
        sleep(OBSERVATION_MS);
        assertThat(runs).hasValue(0);
    }

    /** The timer service may share the event loop of the network and must not shut it down. */
    @Test
    void closeDoesNotShutDownAProvidedScheduler() throws Exception {
        ScheduledExecutorService sharedScheduler = Executors.newSingleThreadScheduledExecutor();
        try (SystemTimerService timerService = SystemTimerService.on(sharedScheduler)) {
            timerService.every(PERIOD_MS, Runnable::run, runs::incrementAndGet);
            timerService.once(OBSERVATION_MS / 2, Runnable::run, runs::incrementAndGet);
            waitUntil(() -> runs.get() >= 1);
            timerService.close();
            sleep(PERIOD_MS);
            assertNoFurtherRuns();
            assertThat(sharedScheduler.submit(() -> true).get(10, TimeUnit.SECONDS))
                    .isTrue();
        } finally {
            sharedScheduler.shutdownNow();
        }
    }

    @Test
    void closeStopsAllTasks() {
        timers.every(PERIOD_MS, Runnable::run, runs::incrementAndGet);
        timers.once(OBSERVATION_MS / 2, Runnable::run, runs::incrementAndGet);
        timers.close();
        sleep(PERIOD_MS);
        assertNoFurtherRuns();
    }
}
