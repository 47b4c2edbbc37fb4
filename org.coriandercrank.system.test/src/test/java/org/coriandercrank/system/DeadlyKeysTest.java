package org.coriandercrank.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.load.LoadReport;
import org.coriandercrank.testkit.ClusterHost;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against two owners of a key while requests of a service divided by key end the servers that run them, so that
 * owners end and return all the time (deploy/days/deadly.toml).
 */
class DeadlyKeysTest {
    private static final String CRASH_PATH = "/v1/" + TestCluster.SERVICE + "/deadly";
    private static final List<String> BACKEND_FLAGS = List.of("--service-ms", "2", "--crash-path", CRASH_PATH);
    private static final long SEED = 7;
    private static final long DURATION_MS = 14_000;
    private static final long FIRST_MS = 1_500;
    private static final long LAST_MS = 11_000;
    private static final long INTERVAL_MS = 400;
    private static final long RESTART_DELAY_MS = 800;

    /** Distinct requests, so that refusing those that have ended servers does not stop the crashes. */
    private static final int DEADLY_KEYS = 1_000;

    private static final int MIN_ENDS = 6;

    @TempDir
    Path directory;

    private final Random random = new Random(SEED);
    private final ExecutorService senders = Executors.newCachedThreadPool();
    private final List<Long> endsMs = new ArrayList<>();
    private final Map<ClusterHost, Long> restartDueMs = new HashMap<>();

    @Test
    void keysHaveOneOwnerWhileServersEnd() {
        try (TestCluster cluster =
                TestCluster.start(directory, 5, List.of(BACKEND_FLAGS), "r1/a", "r1/a", "r1/b", "r1/b", "r1/a")) {
            BackgroundTraffic traffic = BackgroundTraffic.start(cluster, cluster.callerAddresses(), DURATION_MS, 0);
            play(cluster);
            LoadReport report = traffic.finish();
            System.out.println("ends of servers, ms: " + endsMs);
            assertThat(report.violations()).isEmpty();
            assertThat(endsMs).hasSizeGreaterThanOrEqualTo(MIN_ENDS);
        } finally {
            senders.shutdownNow();
        }
    }

    private void play(TestCluster cluster) {
        long startMs = nowMs();
        long nextDeadlyMs = FIRST_MS;
        while (nowMs() - startMs < DURATION_MS) {
            long elapsedMs = nowMs() - startMs;
            if (elapsedMs >= nextDeadlyMs && elapsedMs < LAST_MS) {
                nextDeadlyMs += INTERVAL_MS;
                sendDeadly(cluster);
            }
            cluster.hosts().forEach(host -> restartIfEnded(host, elapsedMs));
            TestCluster.sleep(5);
        }
    }

    private void sendDeadly(TestCluster cluster) {
        ClusterHost host = cluster.host(random.nextInt(cluster.hosts().size()));
        String path = CRASH_PATH + random.nextInt(DEADLY_KEYS);
        senders.execute(() -> {
            try {
                cluster.send("GET", host.callerAddress(), path, "", "Crank-Deadline-Ms: 1000");
            } catch (UncheckedIOException e) {
                // The answer is of no interest; the checker reads what the servers executed.
            }
        });
    }

    private void restartIfEnded(ClusterHost host, long elapsedMs) {
        if (host.backend().isAlive()) {
            return;
        }
        Long dueMs = restartDueMs.get(host);
        if (dueMs == null) {
            endsMs.add(elapsedMs);
            restartDueMs.put(host, elapsedMs + RESTART_DELAY_MS);
        } else if (elapsedMs >= dueMs) {
            restartDueMs.remove(host);
            host.startBackend(BACKEND_FLAGS);
        }
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
