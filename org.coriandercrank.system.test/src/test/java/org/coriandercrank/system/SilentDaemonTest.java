package org.coriandercrank.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.load.Execution;
import org.coriandercrank.load.LedgerReader;
import org.coriandercrank.testkit.ClusterHost;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against running work that is given up or started again because its daemon was silent for a while: a daemon that
 * is only suspended has connections that look dead to the others, but its server goes on. A server that checks the
 * validity of its grant refuses the effect of work that ends after the lease of its daemon; others complete it.
 */
class SilentDaemonTest {
    private static final long SERVICE_MS = 5_000;
    private static final int REQUESTS = 12;
    private static final long TIME_TO_START_MS = 400;
    private static final String RUN = "run";
    private static final String NOT_RUN = "not-run";
    private static final String ALL_CAPABILITIES = "fence,validity,cancel,deadline";
    private static final String NO_GRANT_CHECKS = "cancel,deadline";

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
    private long executionsAtSilentHost;

    /**
     * Sends requests through one host, silences another that runs some of them, and returns the outcome of each. Each
     * request that ran at the silent host must end there, with an execution or with a refusal of the server.
     *
     * @param capabilities what the backend servers check
     */
    private Map<String, String> play(Silence silence, long silenceMs, String capabilities) {
        List<String> flags = List.of("--service-ms", Long.toString(SERVICE_MS), "--capabilities", capabilities);
        ExecutorService senders = Executors.newCachedThreadPool();
        Map<String, String> outcomes = new TreeMap<>();
        try (TestCluster cluster = TestCluster.start(directory, 3, List.of(flags), "r1/a", "r1/b", "r1/c")) {
            Map<String, CompletableFuture<HttpResponse<byte[]>>> sent = new LinkedHashMap<>();
            for (int i = 0; i < REQUESTS; i++) {
                String id = "work-" + i;
                sent.put(id, CompletableFuture.supplyAsync(() -> send(cluster, id), senders));
            }
            cluster.waitUntil(
                    "requests run at another host",
                    () -> otherHostWithWork(cluster).isPresent());
            ClusterHost silent = otherHostWithWork(cluster).orElseThrow();
            TestCluster.sleep(TIME_TO_START_MS);
            BackendCounts before = counts(cluster, silent);
            silence.begin(silent);
            TestCluster.sleep(silenceMs);
            silence.end(silent);
            sent.forEach((id, response) -> outcomes.put(
                    id, response.join().headers().firstValue("Crank-Outcome").orElse("")));
            // The ledger names work at its end, which may come after an answer that the outcome is unknown.
            TestCluster.sleep(SERVICE_MS);
            executions = LedgerReader.read(cluster.ledgerFiles());
            executionsAtSilentHost = executions.stream()
                    .filter(execution -> execution.server().equals(silent.spec().name()))
                    .count();
            long rejected = counts(cluster, silent).rejected() - before.rejected();
            assertThat(executionsAtSilentHost + rejected)
                    .as(
                            "requests that ended at the silent host: %d executed, %d refused",
                            executionsAtSilentHost, rejected)
                    .isGreaterThanOrEqualTo(before.running());
        } finally {
            senders.shutdownNow();
        }
        System.out.println("silence=" + silence + " ms=" + silenceMs + " capabilities=" + capabilities
                + " executionsAtSilentHost=" + executionsAtSilentHost + " outcomes=" + outcomes);
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

    /**
     * Returns a host that runs requests, other than the one that they are sent to. Which of the others own the keys
     * differs from run to run.
     */
    private static Optional<ClusterHost> otherHostWithWork(TestCluster cluster) {
        return cluster.hosts().stream()
                .skip(1)
                .filter(host -> cluster.status(host).inFlight() > 0
                        && counts(cluster, host).running() > 0)
                .findFirst();
    }

    /** Numbers of requests at a backend server. Immutable. */
    private record BackendCounts(long running, long rejected) {}

    private static BackendCounts counts(TestCluster cluster, ClusterHost host) {
        JsonNode stats = JsonCodec.decode(
                cluster.send("GET", host.backendAddress(), "/admin/stats", "").body(), JsonNode.class);
        return new BackendCounts(
                stats.required("running").asLong(), stats.required("rejected").asLong());
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
        Map<String, String> outcomes = play(silence, silenceMs, ALL_CAPABILITIES);
        assertThat(executionsAtSilentHost).as("executions at the silent host").isPositive();
        assertThat(outcomes.values()).containsOnly(RUN);
        assertThat(outcomes.keySet())
                .allSatisfy(id ->
                        assertThat(executions(id)).as("executions of " + id).isEqualTo(1));
    }

    /**
     * The lease ends during these pauses, so other hosts take the keys over while the work goes on.
     *
     * @param leastExecutions executions that the ledger must name at the silent host; 0 if its server has to refuse the
     *     work, because its daemon was suspended and could not renew the grant
     */
    @ParameterizedTest
    @CsvSource({"SUSPENDED_DAEMON,3500,0", "SUSPENDED_HOST,3500,0", "BLOCKED_CONNECTIONS,3500,1"})
    void runningWorkOfALostOwnerIsNotStartedAgain(Silence silence, long silenceMs, long leastExecutions) {
        Map<String, String> outcomes = play(silence, silenceMs, ALL_CAPABILITIES);
        assertThat(executionsAtSilentHost).as("executions at the silent host").isGreaterThanOrEqualTo(leastExecutions);
        assertThat(outcomes).allSatisfy(this::isToldTheTruth);
    }

    /** A server that does not check its grant completes work after the end of the lease. */
    @ParameterizedTest
    @CsvSource({"SUSPENDED_DAEMON,3500", "SUSPENDED_HOST,3500", "BLOCKED_CONNECTIONS,3500"})
    void workThatALostOwnerCompletesIsNotStartedAgain(Silence silence, long silenceMs) {
        Map<String, String> outcomes = play(silence, silenceMs, NO_GRANT_CHECKS);
        assertThat(executionsAtSilentHost).as("executions at the silent host").isPositive();
        assertThat(outcomes).allSatisfy(this::isToldTheTruth);
    }

    private void isToldTheTruth(String id, String outcome) {
        assertThat(executions(id)).as("executions of " + id).isLessThanOrEqualTo(1);
        assertThat(outcome).as("outcome of " + id).isNotEqualTo(executions(id) == 1 ? NOT_RUN : RUN);
    }

    /** The server completes the work, but callers are told that its outcome is unknown. */
    @Tag("known-red")
    @ParameterizedTest
    @CsvSource("SUSPENDED_DAEMON,3500")
    void answersOfALostOwnerThatReturnsAreDelivered(Silence silence, long silenceMs) {
        Map<String, String> outcomes = play(silence, silenceMs, NO_GRANT_CHECKS);
        assertThat(executionsAtSilentHost).as("executions at the silent host").isPositive();
        assertThat(outcomes.values()).containsOnly(RUN);
    }
}
