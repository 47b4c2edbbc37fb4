package org.coriandercrank.kernel;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.concurrent.SingleThreadExecutor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against tasks that are lost, reordered or never completed, and against an executor that stops without notice.
 */
@Timeout(20)
class SingleThreadExecutorTest {
    private static final int QUEUE_CAPACITY = 8;

    private final SingleThreadExecutor executor = new SingleThreadExecutor("test-executor", QUEUE_CAPACITY);

    @AfterEach
    void close() {
        executor.close();
    }

    static Stream<Throwable> failures() {
        return Stream.of(new IllegalStateException("expected"), new StackOverflowError("expected"));
    }

    @ParameterizedTest
    @MethodSource("failures")
    void failingTaskDoesNotEndTheExecutor(Throwable failure) {
        executor.execute(() -> throwUnchecked(failure));
        CompletableFuture<Integer> failing = executor.call(() -> throwUnchecked(failure));

        assertThat(executor.call(() -> 5).orTimeout(5, TimeUnit.SECONDS).join()).isEqualTo(5);
        assertThatThrownBy(() -> failing.orTimeout(5, TimeUnit.SECONDS).join())
                .isInstanceOf(CompletionException.class)
                .hasCause(failure);
    }

    private static int throwUnchecked(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }

    @Test
    void fullQueueRejectsTasksAndRunsQueuedOnesInOrder() throws InterruptedException {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        executor.execute(() -> {
            started.countDown();
            awaitLatch(release);
        });
        started.await();
        List<Integer> ran = new ArrayList<>();
        for (int i = 0; i < QUEUE_CAPACITY; i++) {
            int number = i;
            assertThat(executor.offer(() -> ran.add(number))).isTrue();
        }

        assertThat(executor.offer(() -> ran.add(-1))).isFalse();
        assertThatThrownBy(() -> executor.execute(() -> ran.add(-1))).isInstanceOf(RejectedExecutionException.class);
        assertThatThrownBy(() -> executor.call(() -> ran.add(-1)).join())
                .cause()
                .isInstanceOfSatisfying(
                        CrankException.class, e -> assertThat(e.code()).isEqualTo(ResultCode.OVERLOADED));
        release.countDown();
        executor.close();
        assertThat(ran).containsExactly(0, 1, 2, 3, 4, 5, 6, 7);
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void closeRunsQueuedTasksAndRejectsFurtherOnes() {
        AtomicInteger ran = new AtomicInteger();
        for (int i = 0; i < QUEUE_CAPACITY; i++) {
            executor.offer(ran::incrementAndGet);
        }
        executor.close();

        assertThat(ran).hasValue(QUEUE_CAPACITY);
        assertThat(executor.offer(ran::incrementAndGet)).isFalse();
        executor.close();
    }

    @Test
    void closeOnItsOwnThreadDoesNotBlock() {
        assertThat(executor.call(() -> {
                            executor.close();
                            return executor.isCurrentThread();
                        })
                        .orTimeout(1, TimeUnit.SECONDS)
                        .join())
                .isTrue();
    }

    /** A task whose offer returns true while the executor is being closed must still be run. */
    @Tag("known-red")
    @Test
    void acceptedTasksRunDuringConcurrentClose() throws InterruptedException {
        for (int round = 0; round < 200; round++) {
            SingleThreadExecutor closing = new SingleThreadExecutor("closing-executor", 1_024);
            AtomicInteger accepted = new AtomicInteger();
            AtomicInteger ran = new AtomicInteger();
            CountDownLatch offering = new CountDownLatch(1);
            Thread caller = new Thread(() -> {
                while (closing.offer(ran::incrementAndGet)) {
                    accepted.incrementAndGet();
                    offering.countDown();
                }
            });
            caller.start();
            offering.await();
            closing.close();
            caller.join();
            assertThat(ran.get()).as("round " + round).isEqualTo(accepted.get());
        }
    }
}
