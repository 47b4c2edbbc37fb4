package org.coriandercrank.daemon.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Timeline of one run, and the names of the rules that the run broke. Lines are built only if the run is traced. Not
 * thread safe.
 */
final class Trace {
    /** Kept referenced, because the log manager holds loggers weakly. */
    private static final Logger PRODUCT_LOGGER = Logger.getLogger("org.coriandercrank");

    private static final Logger METRICS_LOGGER = Logger.getLogger("io.micrometer");

    private static final int MAX_VIOLATIONS = 200;

    /**
     * A broken rule. Immutable.
     *
     * @param rule short name of the rule
     */
    record Violation(String rule, long atMs, String text) {}

    private final SimulatedTime time;
    private final boolean enabled;
    private final List<String> lines = new ArrayList<>();
    private final List<Violation> violations = new ArrayList<>();
    private String processName = "";

    Trace(SimulatedTime time, boolean enabled) {
        this.time = time;
        this.enabled = enabled;
    }

    /** Turns off the log of the product, which would be too long for thousands of runs. */
    static void silenceProduct() {
        PRODUCT_LOGGER.setLevel(Level.OFF);
        PRODUCT_LOGGER.setUseParentHandlers(false);
        METRICS_LOGGER.setLevel(Level.OFF);
    }

    /** Adds what the product logs to the timeline. Only one run at a time may do so. */
    void captureProductLog() {
        PRODUCT_LOGGER.setLevel(Level.INFO);
        PRODUCT_LOGGER.addHandler(new Handler() {
            @Override
            public void publish(LogRecord entry) {
                String thrown = entry.getThrown() == null ? "" : " " + entry.getThrown();
                add(() -> processName + ": " + entry.getMessage() + thrown);
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        });
    }

    boolean isEnabled() {
        return enabled;
    }

    /** Runs a task whose log lines are marked with the name of its process. */
    void runAs(String process, Runnable task) {
        String previous = processName;
        processName = process;
        try {
            task.run();
        } catch (RuntimeException e) {
            violation("EXCEPTION", process + ": " + e);
            if (enabled) {
                e.printStackTrace();
            }
        } finally {
            processName = previous;
        }
    }

    void add(Supplier<String> line) {
        if (enabled) {
            lines.add(time.nowMs() + " " + line.get());
        }
    }

    void violation(String rule, String text) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(new Violation(rule, time.nowMs(), text));
        }
        add(() -> "VIOLATION " + rule + " " + text);
    }

    List<Violation> violations() {
        return List.copyOf(violations);
    }

    List<String> lines() {
        return List.copyOf(lines);
    }
}
