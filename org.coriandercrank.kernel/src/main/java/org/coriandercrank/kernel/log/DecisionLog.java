package org.coriandercrank.kernel.log;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.coriandercrank.kernel.time.MonotonicClock;

/**
 * Log of routing or placement decisions, one line each, with a limit on lines per second.
 *
 * <p>Thread safe. Lines above the limit are dropped and counted; the count is logged when the next one-second window
 * starts. The text of a line is built only if the line is written.
 */
public final class DecisionLog {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private final long maxLinesPerSecond;
    private final MonotonicClock clock;
    private final AtomicLong windowStartNanos;
    private final AtomicLong linesInWindow = new AtomicLong();

    /** @param maxLinesPerSecond 0 disables the log */
    public DecisionLog(long maxLinesPerSecond, MonotonicClock clock) {
        this.maxLinesPerSecond = maxLinesPerSecond;
        this.clock = clock;
        this.windowStartNanos = new AtomicLong(clock.nowNanos());
    }

    /** Logs a line of the form {@code event=... name=value ...}, unless the limit is reached. */
    public void log(Supplier<String> line) {
        if (maxLinesPerSecond <= 0) {
            return;
        }
        rollWindow();
        if (linesInWindow.incrementAndGet() <= maxLinesPerSecond) {
            logger.atInfo().log("%s", line.get());
        }
    }

    /** Starts a new window after one second and logs how many lines the previous window dropped. */
    private void rollWindow() {
        long nowNanos = clock.nowNanos();
        long startNanos = windowStartNanos.get();
        if (nowNanos - startNanos < NANOS_PER_SECOND || !windowStartNanos.compareAndSet(startNanos, nowNanos)) {
            return;
        }
        long suppressed = linesInWindow.getAndSet(0) - maxLinesPerSecond;
        if (suppressed > 0) {
            logger.atWarning().log("event=decision-log-limit suppressed=%d", suppressed);
        }
    }
}
