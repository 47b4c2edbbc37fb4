package org.coriandercrank.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.coriandercrank.load.Execution;
import org.coriandercrank.load.LedgerReader;
import org.coriandercrank.testkit.ClusterHost;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against running work that is given up or started again because its daemon was silent for a while: a daemon that
 * is only suspended has connections that look dead to the others, but its server goes on.
 */
class SilentDaemonTest {
    private static final long SERVICE_MS = 5_000;
    private static final int REQUESTS = 12;
    private static final long TIME_TO_START_MS = 400;
    private static final String RUN = "run";

    /** How a host is silent. */
    enum Silence {
        SUSPENDED_DAEMON,
        SUSPENDED_HOST,
        BLOCKED_CONNECTIONS,
        CUT_FROM_THE_STORE;

        void begin(ClusterHost host) {
            switch (this) {
                case SUSPENDED_DAEMON -> host.daemon().freeze();
                case SUSPENDED_HOST -> host.freeze();
                case BLOCKED_CONNECTIONS -> host.peerProxy().blockBothDirections();
                case CUT_FROM_THE_STORE -> host.storeProxy().blockBothDirections();
            }
        }

        void end(ClusterHost host) {
            switch (this) {
                case SUSPENDED_DAEMON -> host.daemon().resume();
                case SUSPENDED_HOST -> host.resume();
                case BLOCKED_CONNECTIONS -> host.peerProxy().clearFaults();
                case CUT_FROM_THE_STORE -> host.storeProxy().clearFaults();
            }
        }
    }

    @TempDir
    Path directory;

    private List<Execution> executions;

    /** Sends requests through one host, silences another that runs some of them, and returns the outcome of each. */
    private Map<String, String> play(Silence silence, long silenceMs) {
        ExecutorService senders = Executors.newCachedThreadPool();
        Map<String, String> outcomes = new TreeMap<>();
        try (TestCluster cluster = TestCluster.start(
                directory, 3, List.of(List.of("--service-ms", Long.toString(SERVICE_MS))), "r1/a", "r1/b", "r1/c")) {
            ClusterHost silent = cluster.host(1);
            Map<String, CompletableFuture<HttpResponse<byte[]>>> sent = new LinkedHashMap<>();
            for (int i = 0; i < REQUESTS; i++) {
                String id = "work-" + i;
                sent.put(id, CompletableFuture.supplyAsync(() -> send(cluster, id), senders));
            }
            cluster.waitUntil(
                    "requests run at the silent host",
                    () -> cluster.status(silent).inFlight() > 0);
            TestCluster.sleep(TIME_TO_START_MS);
            silence.begin(silent);
            TestCluster.sleep(silenceMs);
            silence.end(silent);
            sent.forEach((id, response) -> outcomes.put(
                    id, response.join().headers().firstValue("Crank-Outcome").orElse("")));
            // The ledger names work at its end, which may come after an answer that the outcome is unknown.
            TestCluster.sleep(SERVICE_MS);
            executions = LedgerReader.read(cluster.ledgerFiles());
            assertThat(executions)
                    .as("executions")
                    .anySatisfy(execution -> assertThat(execution.server())
                            .isEqualTo(silent.spec().name()));
        } finally {
            senders.shutdownNow();
        }
        System.out.println("silence=" + silence + " ms=" + silenceMs + " outcomes=" + outcomes);
        return outcomes;
    }

    private static HttpResponse<byte[]> send(TestCluster cluster, String id) {
        return cluster.send(
                "POST",
                cluster.host(0).callerAddress(),
                "/v1/" + TestCluster.SERVICE + "/" + id,
                "x",
                "Crank-Request-Id: " + id,
                "Crank-Deadline-Ms: 14000");
    }

    private long executions(String id) {
        return executions.stream()
                .filter(execution -> execution.callerRequestId().equals(id))
                .count();
    }

    /** The lease of the daemon, 2 s, outlasts these pauses. */
    @ParameterizedTest
    @CsvSource({
        "SUSPENDED_DAEMON,900",
        "SUSPENDED_DAEMON,1400",
        "SUSPENDED_HOST,1400",
        "BLOCKED_CONNECTIONS,1400",
        "CUT_FROM_THE_STORE,4000"
    })
    void runningWorkIsNeitherGivenUpNorStartedAgain(Silence silence, long silenceMs) {
        Map<String, String> outcomes = play(silence, silenceMs);
        assertThat(outcomes.values()).containsOnly(RUN);
        assertThat(outcomes.keySet())
                .allSatisfy(id ->
                        assertThat(executions(id)).as("executions of " + id).isEqualTo(1));
    }

    /** The lease ends during these pauses, so other hosts take the keys over while the work goes on. */
    @ParameterizedTest
    @CsvSource({"SUSPENDED_DAEMON,3500", "SUSPENDED_HOST,3500", "BLOCKED_CONNECTIONS,3500"})
    void runningWorkOfALostOwnerIsNotStartedAgain(Silence silence, long silenceMs) {
        Map<String, String> outcomes = play(silence, silenceMs);
        assertThat(outcomes).allSatisfy((id, outcome) -> {
            assertThat(executions(id)).as("executions of " + id).isLessThanOrEqualTo(1);
            assertThat(outcome).isNotEqualTo(executions(id) == 1 ? "not-run" : RUN);
        });
    }

    /** The server completes the work, but callers are told that its outcome is unknown. */
    @Tag("known-red")
    @ParameterizedTest
    @CsvSource("SUSPENDED_DAEMON,3500")
    void answersOfALostOwnerThatReturnsAreDelivered(Silence silence, long silenceMs) {
        assertThat(play(silence, silenceMs).values()).containsOnly(RUN);
    }
}
