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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against tasks that are lost, reordered or left unanswered, and against a duty that ends unnoticed. */
@Timeout(20)
class DutyThreadTest {
    private static final int RING_CAPACITY = 8;

    private final SingleThreadExecutor duty = new SingleThreadExecutor("test-duty", RING_CAPACITY);

    @AfterEach
    void close() {
        duty.close();
    }

    static Stream<Throwable> failures() {
        return Stream.of(new IllegalStateException("expected"), new StackOverflowError("expected"));
    }

    @ParameterizedTest
    @MethodSource("failures")
    void taskThatThrowsDoesNotEndTheDuty(Throwable failure) {
        duty.execute(() -> sneak(failure));
        CompletableFuture<Integer> failing = duty.call(() -> sneak(failure));

        assertThat(duty.call(() -> 5).orTimeout(5, TimeUnit.SECONDS).join()).isEqualTo(5);
        assertThatThrownBy(() -> failing.orTimeout(5, TimeUnit.SECONDS).join())
                .isInstanceOf(CompletionException.class)
                .hasCause(failure);
    }

    private static int sneak(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }

    @Test
    void fullRingRefusesAtOnceAndRunsTheRestInOrder() throws InterruptedException {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        duty.execute(() -> {
            started.countDown();
            awaitQuietly(release);
        });
        started.await();
        List<Integer> ran = new ArrayList<>();
        for (int i = 0; i < RING_CAPACITY; i++) {
            int number = i;
            assertThat(duty.offer(() -> ran.add(number))).isTrue();
        }

        assertThat(duty.offer(() -> ran.add(-1))).isFalse();
        assertThatThrownBy(() -> duty.execute(() -> ran.add(-1))).isInstanceOf(RejectedExecutionException.class);
        assertThatThrownBy(() -> duty.call(() -> ran.add(-1)).join())
                .cause()
                .isInstanceOfSatisfying(
                        CrankException.class, e -> assertThat(e.code()).isEqualTo(ResultCode.OVERLOADED));
        release.countDown();
        duty.close();
        assertThat(ran).containsExactly(0, 1, 2, 3, 4, 5, 6, 7);
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void closeRunsQueuedTasksAndRefusesFurtherOnes() {
        AtomicInteger ran = new AtomicInteger();
        for (int i = 0; i < RING_CAPACITY; i++) {
            duty.offer(ran::incrementAndGet);
        }
        duty.close();

        assertThat(ran).hasValue(RING_CAPACITY);
        assertThat(duty.offer(ran::incrementAndGet)).isFalse();
        duty.close();
    }

    @Test
    void closeFromItsOwnThreadDoesNotBlock() {
        assertThat(duty.call(() -> {
                            duty.close();
                            return duty.isCurrentThread();
                        })
                        .orTimeout(1, TimeUnit.SECONDS)
                        .join())
                .isTrue();
    }

    /** An offer that returns true while the duty closes must not leave its task behind. */
    @Test
    void acceptedTasksRunAlsoIfTheDutyClosesMeanwhile() throws InterruptedException {
        for (int round = 0; round < 200; round++) {
            SingleThreadExecutor closing = new SingleThreadExecutor("closing-duty", 1_024);
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
