package org.coriandercrank.control.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.IntStream;
import org.coriandercrank.control.ControlOptions;
import org.coriandercrank.control.internal.ConfigurationProofMonitor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a daemon that acts on an old configuration without telling an operator, and against warnings of a fleet
 * in which nothing is wrong. Virtual time.
 */
class ConfigurationProofTest {
    private static final int HOSTS = 16;
    private static final long STEP_MS = 100;
    private static final long QUIET_MS = 120_000;
    private static final long SILENCE_MS = 15_000;
    private static final long RECOVERY_MS = 5_000;

    /** The options of the users' platform. */
    private static final ControlOptions OPTIONS = ControlOptions.DEFAULTS
            .withLeaseTiming(3_600, 800, 105)
            .withWatchWaits(2_000, 25_000, 8_000)
            .withWatchIntervals(250, 1_000);

    private final Logger logger = Logger.getLogger(ConfigurationProofMonitor.class.getName());
    private final List<String> written = new ArrayList<>();
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

    @Test
    void quietFleetHasRecentProofs() {
        FakeCluster cluster = newCluster();
        long oldestMs = 0;
        for (long ms = 0; ms < QUIET_MS; ms += STEP_MS) {
            cluster.time().runFor(STEP_MS);
            for (FakeHost host : cluster.hosts()) {
                oldestMs = Math.max(
                        oldestMs, host.control().configurationProof().ageMs().orElseThrow());
            }
        }
        System.out.printf("oldest proof of a quiet fleet: hosts=%d ms=%d%n", HOSTS, oldestMs);
        assertThat(written).isEmpty();
    }

    @Test
    void silentStoreIsReportedOnceByEachDaemonAndSoIsItsReturn() {
        FakeCluster cluster = newCluster();
        cluster.store().setMode(FakeStore.Mode.SILENT);
        cluster.time().runFor(SILENCE_MS);
        assertThat(written)
                .hasSize(HOSTS)
                .allMatch(line -> line.startsWith("WARNING event=configuration-proof-old ageMs="));
        written.clear();
        cluster.store().setMode(FakeStore.Mode.UP);
        cluster.time().runFor(RECOVERY_MS);
        assertThat(written)
                .hasSize(HOSTS)
                .allMatch(line -> line.startsWith("INFO event=configuration-proof-regained ageMs="));
    }

    private static FakeCluster newCluster() {
        FakeCluster cluster = new FakeCluster(locations());
        cluster.restartAll(OPTIONS, locations());
        cluster.time().runFor(RECOVERY_MS);
        return cluster;
    }

    private static String[] locations() {
        return IntStream.range(0, HOSTS).mapToObj(i -> "r0/d" + i % 2).toArray(String[]::new);
    }
}
