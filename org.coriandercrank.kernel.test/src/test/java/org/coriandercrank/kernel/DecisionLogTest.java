package org.coriandercrank.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.coriandercrank.kernel.log.DecisionLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a decision log that exceeds its line limit under load or does not report how many lines it dropped.
 */
class DecisionLogTest {
    private static final long SECOND_NANOS = 1_000_000_000;

    private final Logger logger = Logger.getLogger(DecisionLog.class.getName());
    private final List<String> written = Collections.synchronizedList(new ArrayList<>());
    private final AtomicLong nowNanos = new AtomicLong(-5);
    private final AtomicInteger linesBuilt = new AtomicInteger();
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord line) {
            written.add(line.getLevel() + " " + line.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    @BeforeEach
    void startCapture() {
        logger.setUseParentHandlers(false);
        logger.setLevel(Level.INFO);
        logger.addHandler(handler);
    }

    @AfterEach
    void stopCapture() {
        logger.removeHandler(handler);
        logger.setUseParentHandlers(true);
    }

    private void logLines(DecisionLog log, int times) {
        for (int i = 0; i < times; i++) {
            log.log(() -> "event=route number=" + linesBuilt.incrementAndGet());
        }
    }

    @Test
    void linesAboveTheLimitAreDroppedAndCounted() {
        DecisionLog log = new DecisionLog(10, nowNanos::get);
        logLines(log, 2_000);
        assertThat(written).hasSize(10).allMatch(line -> line.startsWith("INFO event=route number="));
        assertThat(linesBuilt).hasValue(10);

        nowNanos.addAndGet(SECOND_NANOS);
        logLines(log, 1);
        assertThat(written.subList(10, written.size()))
                .containsExactly("WARNING event=decision-log-limit suppressed=1990", "INFO event=route number=11");
    }

    @Test
    void windowWithinTheLimitLogsNoCount() {
        DecisionLog log = new DecisionLog(10, nowNanos::get);
        logLines(log, 10);
        nowNanos.addAndGet(SECOND_NANOS);
        logLines(log, 10);
        nowNanos.addAndGet(SECOND_NANOS - 1);
        logLines(log, 1);
        assertThat(written).hasSize(20).noneMatch(line -> line.contains("suppressed"));
    }

    @Test
    void limitZeroWritesNothing() {
        logLines(new DecisionLog(0, nowNanos::get), 100);
        assertThat(written).isEmpty();
        assertThat(linesBuilt).hasValue(0);
    }

    @Test
    void limitAppliesAcrossThreads() throws InterruptedException {
        DecisionLog log = new DecisionLog(10, nowNanos::get);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            threads.add(new Thread(() -> logLines(log, 1_000)));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        nowNanos.addAndGet(SECOND_NANOS);
        logLines(log, 1);
        assertThat(written).hasSize(12).contains("WARNING event=decision-log-limit suppressed=7990");
    }
}
