package org.coriandercrank.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.coriandercrank.kernel.concurrent.SerialExecutor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a pause of the event loop whose log line does not name the tasks that caused it. */
final class EventLoopMeterTest {
    private static final int CAPACITY = 16;

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final AtomicLong nowNanos = new AtomicLong();
    private final EventLoopMeter meter = new EventLoopMeter(loop, nowNanos::get, /* minPauseMs= */ 500);
    private final SerialExecutor ownership = meter.create("ownership", CAPACITY);
    private final SerialExecutor gate = meter.create("gate", CAPACITY);

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void runTask(SerialExecutor executor, long durationMs) {
        executor.call(() -> nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(durationMs)))
                .join();
    }

    /** Runs on the event loop, so the tasks before it have ended. */
    private String report() throws Exception {
        return loop.submit(() -> meter.report().orElse("")).get(5, TimeUnit.SECONDS);
    }

    @Test
    void namesTheBusiestExecutorFirst() throws Exception {
        runTask(gate, 10);
        runTask(ownership, 300);
        runTask(ownership, 250);
        assertThat(report())
                .isEqualTo("gapMs=560 ownership:tasks=2,ms=550,longestMs=300 gate:tasks=1,ms=10,longestMs=10");
    }

    @Test
    void reportsNoPauseAndForgetsItsTasks() throws Exception {
        runTask(ownership, 400);
        assertThat(report()).isEmpty();
        runTask(gate, 600);
        assertThat(report()).isEqualTo("gapMs=600 gate:tasks=1,ms=600,longestMs=600");
    }
}
