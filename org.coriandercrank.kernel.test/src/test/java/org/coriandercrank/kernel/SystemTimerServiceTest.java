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

/** Guards against timed work that is lost, piles up in a slow duty, or goes on after its cancellation. */
@Timeout(20)
class SystemTimerServiceTest {
    private static final long PERIOD_MS = 5;
    private static final long QUIET_MS = 60;

    private final SystemTimerService timers = new SystemTimerService();
    private final AtomicInteger runs = new AtomicInteger();

    @AfterEach
    void close() {
        timers.close();
    }

    private static void awaitTrue(BooleanSupplier condition) {
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
        sleep(QUIET_MS);
        assertThat(runs).hasValue(before);
    }

    @Test
    void periodicTaskRunsUntilItIsCancelled() {
        Subscription subscription = timers.every(PERIOD_MS, Runnable::run, runs::incrementAndGet);
        awaitTrue(() -> runs.get() >= 3);
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
        awaitTrue(() -> queued.get() != null);
        sleep(QUIET_MS);
        assertThat(dispatches).hasValue(1);
        queued.getAndSet(null).run();
        awaitTrue(() -> queued.get() != null);
        assertThat(dispatches).hasValue(2);
    }

    @Test
    void periodicTaskSurvivesAFullRingAndAFailure() {
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
        awaitTrue(() -> runs.get() >= 3);
    }

    @Test
    void singleTaskRunsOnceNotBeforeItsDelayAndAgainAfterAFullRing() {
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
    void cancelledSingleTaskDoesNotRunEvenIfItIsQueued() {
        AtomicReference<Runnable> queued = new AtomicReference<>();
        Subscription subscription = timers.once(1, queued::set, runs::incrementAndGet);
        awaitTrue(() -> queued.get() != null);
        subscription.cancel();
        queued.get().run();
        timers.once(10, Runnable::run, runs::incrementAndGet).cancel();
        sleep(QUIET_MS);
        assertThat(runs).hasValue(0);
    }

    /** A timer service that shares the event loop of the network must not end it. */
    @Test
    void closeLeavesAGivenSchedulerRunning() throws Exception {
        ScheduledExecutorService shared = Executors.newSingleThreadScheduledExecutor();
        try (SystemTimerService sharing = SystemTimerService.on(shared)) {
            sharing.every(PERIOD_MS, Runnable::run, runs::incrementAndGet);
            sharing.once(QUIET_MS / 2, Runnable::run, runs::incrementAndGet);
            awaitTrue(() -> runs.get() >= 1);
            sharing.close();
            sleep(PERIOD_MS);
            assertNoFurtherRuns();
            assertThat(shared.submit(() -> true).get(10, TimeUnit.SECONDS)).isTrue();
        } finally {
            shared.shutdownNow();
        }
    }

    @Test
    void closeEndsAllTasks() {
        timers.every(PERIOD_MS, Runnable::run, runs::incrementAndGet);
        timers.once(QUIET_MS / 2, Runnable::run, runs::incrementAndGet);
        timers.close();
        sleep(PERIOD_MS);
        assertNoFurtherRuns();
    }
}
