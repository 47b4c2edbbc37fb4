package org.coriandercrank.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.testkit.ClusterHost;
import org.coriandercrank.testkit.HostSpec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a request that ends each backend server that runs it and is sent on although it has ended three. It
 * comes again and again with a new id, at any daemon; the servers return after some seconds.
 */
class CrashingRequestTest {
    private static final String SERVICE = "workbench";
    private static final String CRASH_PATH = "/v1/" + SERVICE + "/crash";
    private static final String NOTE =
            "{\"id\":\"first\",\"basedOn\":0,\"add\":{\"services\":[{\"name\":\"" + SERVICE + "\",\"keyed\":false}]}}";
    private static final List<String> BACKEND_FLAGS = List.of("--service-ms", "50", "--crash-path", CRASH_PATH);

    /** Status with which a server answers a read of a name that was never written. */
    private static final int STATUS_NOT_FOUND = 404;

    private static final int STATUS_REFUSED = 503;
    private static final Optional<String> QUARANTINED = Optional.of(Integer.toString(ResultCode.QUARANTINED.number()));
    private static final long SEED = 7;
    private static final long DURATION_MS = 20_000;
    private static final long CRASHING_INTERVAL_MS = 150;
    private static final long ORDINARY_INTERVAL_MS = 20;
    private static final long RESTART_DELAY_MS = 1_200;

    /** Time in which all daemons must learn that the request has ended a third server. */
    private static final long CONTACT_MS = 3_000;

    private static final int ALLOWED_ENDS = 3;
    private static final int ALLOWED_LATER_ENDS = 3;

    @TempDir
    Path directory;

    private final Random random = new Random(SEED);
    private final ExecutorService senders = Executors.newCachedThreadPool();
    private final List<Long> endsMs = new ArrayList<>();
    private final Map<String, Integer> quarantined = new ConcurrentHashMap<>();
    private final Map<ClusterHost, Long> restartDueMs = new HashMap<>();

    /** A request that ended 15 servers was sent on 12 times after the third (docs/incidents/crashing-requests.md). */
    @Test
    void requestIsNotSentOnAfterItHasEndedThreeServers() throws InterruptedException {
        List<HostSpec> specs = Stream.of("r1/a", "r1/a", "r1/b", "r2/c", "r2/c", "r2/d")
                .map(place -> place.split("/", 2))
                .map(parts -> new HostSpec("bench-" + random.nextInt(1 << 20), parts[0], parts[1], SERVICE))
                .toList();
        try (TestCluster cluster = TestCluster.start(directory, specs, NOTE, BACKEND_FLAGS)) {
            cluster.waitUntil(
                    "every daemon gets responses",
                    () -> cluster.hosts().stream()
                            .allMatch(host -> status(cluster, host, "/v1/workbench/a") == STATUS_NOT_FOUND));
            play(cluster);
            restartDaemon(cluster);
        } finally {
            senders.shutdownNow();
        }
        System.out.println("ends of servers, ms: " + endsMs);
        assertThat(endsMs).hasSizeGreaterThanOrEqualTo(ALLOWED_ENDS);
        long boundMs = endsMs.get(ALLOWED_ENDS - 1) + CONTACT_MS;
        assertThat(endsMs.stream().filter(ms -> ms > boundMs)).hasSizeLessThanOrEqualTo(ALLOWED_LATER_ENDS);
        assertThat(quarantined.get(CRASH_PATH)).as("refusals of the request").isNotNull();
        assertThat(quarantined.keySet()).as("refused requests").containsExactly(CRASH_PATH);
    }

    /** A daemon that restarts must not send the request until it has ended three servers again. */
    private void restartDaemon(TestCluster cluster) {
        ClusterHost host = cluster.host(0);
        host.daemon().kill();
        host.startDaemon(List.of());
        cluster.waitUntil(
                "the restarted daemon gets responses",
                () -> status(cluster, host, "/v1/workbench/a") == STATUS_NOT_FOUND);
        int endsBefore = endsMs.size();
        assertThat(status(cluster, host, CRASH_PATH)).isEqualTo(STATUS_REFUSED);
        cluster.hosts().forEach(each -> restartIfEnded(each, nowMs()));
        assertThat(endsMs).hasSize(endsBefore);
    }

    private void play(TestCluster cluster) {
        long startMs = nowMs();
        long nextCrashingMs = startMs;
        long nextOrdinaryMs = startMs;
        while (nowMs() < startMs + DURATION_MS) {
            long ms = nowMs();
            if (ms >= nextCrashingMs) {
                nextCrashingMs += CRASHING_INTERVAL_MS;
                sendInBackground(cluster, CRASH_PATH);
            }
            if (ms >= nextOrdinaryMs) {
                nextOrdinaryMs += ORDINARY_INTERVAL_MS;
                sendInBackground(cluster, "/v1/" + SERVICE + "/item-" + random.nextInt(50));
            }
            cluster.hosts().forEach(host -> restartIfEnded(host, ms));
            TestCluster.sleep(5);
        }
    }

    private void restartIfEnded(ClusterHost host, long ms) {
        if (host.backend().isAlive()) {
            return;
        }
        Long dueMs = restartDueMs.get(host);
        if (dueMs == null) {
            endsMs.add(ms);
            restartDueMs.put(host, ms + RESTART_DELAY_MS);
        } else if (ms >= dueMs) {
            restartDueMs.remove(host);
            host.startBackend(BACKEND_FLAGS);
        }
    }

    private void sendInBackground(TestCluster cluster, String path) {
        ClusterHost host = cluster.host(random.nextInt(cluster.hosts().size()));
        senders.execute(() -> status(cluster, host, path));
    }

    private int status(TestCluster cluster, ClusterHost host, String path) {
        try {
            HttpResponse<byte[]> response =
                    cluster.send("GET", host.callerAddress(), path, "", "Crank-Deadline-Ms: 2000");
            if (response.headers().firstValue("crank-result").equals(QUARANTINED)) {
                quarantined.merge(path, 1, Integer::sum);
            }
            return response.statusCode();
        } catch (UncheckedIOException e) {
            return 0;
        }
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
