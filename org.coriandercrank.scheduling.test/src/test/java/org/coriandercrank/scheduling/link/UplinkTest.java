package org.coriandercrank.scheduling.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.coriandercrank.kernel.time.MonotonicClock;
import org.coriandercrank.kernel.time.TimerService;
import org.junit.jupiter.api.Test;

/** Guards against long messages that exceed the rate of the link, delay short ones or starve each other. */
class UplinkTest {
    private static final double MBIT_PER_SECOND = 8;

    /** What the link sends in a millisecond. */
    private static final int BYTES_PER_MS = 1_000;

    /** Timers in virtual time that run a task up to a given time late. */
    private static final class LateTimers implements TimerService {
        private record Scheduled(long dueNanos, Runnable task) {}

        private final PriorityQueue<Scheduled> tasks =
                new PriorityQueue<>(Comparator.comparingLong(Scheduled::dueNanos));
        private final long latenessMs;
        private long nowNanos = -5;

        private LateTimers(long latenessMs) {
            this.latenessMs = latenessMs;
        }

        @Override
        public MonotonicClock clock() {
            return () -> nowNanos;
        }

        @Override
        public Subscription every(long periodMs, Executor executor, Runnable task) {
            throw new UnsupportedOperationException("not used");
        }

        @Override
        public Subscription once(long delayMs, Executor executor, Runnable task) {
            Scheduled scheduled = new Scheduled(nowNanos + TimeUnit.MILLISECONDS.toNanos(delayMs + latenessMs), task);
            tasks.add(scheduled);
            return () -> tasks.remove(scheduled);
        }

        private void advanceMs(long ms) {
            long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(ms);
            while (!tasks.isEmpty() && tasks.peek().dueNanos() <= untilNanos) {
                Scheduled next = tasks.poll();
                nowNanos = Math.max(nowNanos, next.dueNanos());
                next.task().run();
            }
            nowNanos = untilNanos;
        }

        @Override
        public void close() {}
    }

    /** Counts the bytes that it may send. */
    private static final class CountingSender implements Uplink.Sender {
        private boolean ready = true;
        private int sentBytes;
        private int largestPiece;

        @Override
        public boolean isReady() {
            return ready;
        }

        @Override
        public void send(int bytes) {
            sentBytes += bytes;
            largestPiece = Math.max(largestPiece, bytes);
        }
    }

    private LateTimers timers = new LateTimers(0);
    private Uplink uplink = new Uplink(MBIT_PER_SECOND, timers);

    private CountingSender start(int bytes) {
        CountingSender sender = new CountingSender();
        uplink.start(bytes, sender);
        return sender;
    }

    @Test
    void longMessagesStayBelowTheRateAndUseMostOfIt() {
        for (long latenessMs : new long[] {0, 5, 12}) {
            timers = new LateTimers(latenessMs);
            uplink = new Uplink(MBIT_PER_SECOND, timers);
            List<CountingSender> senders = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                senders.add(start(100_000));
            }
            timers.advanceMs(1_000);
            int sentBytes =
                    senders.stream().mapToInt(sender -> sender.sentBytes).sum();
            assertThat(sentBytes).as("late by %s ms", latenessMs).isBetween(850 * BYTES_PER_MS, 950 * BYTES_PER_MS);
            assertThat(senders).allMatch(sender -> sender.largestPiece <= 10 * BYTES_PER_MS);
        }
    }

    @Test
    void shorterMessageGoesFirstAndLongerOneIsNotStarved() {
        CountingSender longest = start(500_000);
        timers.advanceMs(50);
        CountingSender shorter = start(20_000);
        timers.advanceMs(40);
        assertThat(shorter.sentBytes).isEqualTo(20_000);
        for (int i = 0; i < 200; i++) {
            start(20_000);
            timers.advanceMs(20);
        }
        assertThat(longest.sentBytes).isEqualTo(500_000);
    }

    @Test
    void shortMessagesReduceWhatIsLeftButDoNotStopLongOnes() {
        CountingSender sender = start(1_000_000);
        for (int i = 0; i < 100; i++) {
            uplink.onShortMessage(5 * BYTES_PER_MS);
            timers.advanceMs(10);
        }
        assertThat(sender.sentBytes).isBetween(300 * BYTES_PER_MS, 500 * BYTES_PER_MS);
        for (int i = 0; i < 100; i++) {
            uplink.onShortMessage(50 * BYTES_PER_MS);
            timers.advanceMs(10);
        }
        assertThat(sender.sentBytes).isGreaterThan(300 * BYTES_PER_MS);
    }

    @Test
    void blockedConnectionDoesNotHoldUpOthers() {
        CountingSender blocked = start(50_000);
        blocked.ready = false;
        timers.advanceMs(20);
        int sentBefore = blocked.sentBytes;
        CountingSender other = start(100_000);
        timers.advanceMs(200);
        assertThat(other.sentBytes).isEqualTo(100_000);
        assertThat(blocked.sentBytes).isEqualTo(sentBefore);
        blocked.ready = true;
        uplink.onReady();
        timers.advanceMs(100);
        assertThat(blocked.sentBytes).isEqualTo(50_000);
        assertThat(uplink.backlogBytes()).isZero();
    }

    /** A caller that does not read must neither count as load of the link nor delay the end of the daemon. */
    @Test
    void messageOfAReceiverThatTakesNothingDoesNotCount() {
        CountingSender stalled = start(50_000);
        stalled.ready = false;
        timers.advanceMs(200);
        assertThat(uplink.backlogBytes()).isPositive();
        CompletableFuture<Void> idle = uplink.whenIdle();
        timers.advanceMs(400);
        assertThat(uplink.backlogBytes()).isZero();
        assertThat(idle).isCompleted();
        stalled.ready = true;
        uplink.onReady();
        timers.advanceMs(100);
        assertThat(stalled.sentBytes).isEqualTo(50_000);
    }

    @Test
    void cancelledTransferIsNotContinued() {
        CountingSender sender = new CountingSender();
        Uplink.Transfer transfer = uplink.start(100_000, sender);
        timers.advanceMs(20);
        int sentBefore = sender.sentBytes;
        transfer.cancel();
        transfer.cancel();
        timers.advanceMs(100);
        assertThat(sender.sentBytes).isEqualTo(sentBefore);
        assertThat(uplink.backlogBytes()).isZero();
    }

    @Test
    void drainWaitsForTheLastPiece() {
        CountingSender first = start(50_000);
        CountingSender second = start(100_000);
        CompletableFuture<Void> idle = uplink.whenIdle();
        AtomicInteger sentWhenIdle = new AtomicInteger();
        idle.thenRun(() -> sentWhenIdle.set(first.sentBytes + second.sentBytes));
        timers.advanceMs(100);
        assertThat(first.sentBytes).isEqualTo(50_000);
        assertThat(idle).isNotDone();
        timers.advanceMs(100);
        assertThat(sentWhenIdle).hasValue(150_000);
        assertThat(uplink.whenIdle()).isCompleted();
    }
}
