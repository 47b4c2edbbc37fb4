package org.coriandercrank.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.note.NoteApplier;
import org.coriandercrank.note.NoteParser;
import org.coriandercrank.testkit.ClusterHost;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against release notes that are applied twice, only in part, after a rejection, or without being reported as
 * accepted, and against daemons that return to an older configuration. Several submitters race while the store has
 * faults.
 */
class NoteRaceTest {
    private static final int NOTE_COUNT = 50;
    private static final int SUBMITTER_COUNT = 8;
    private static final int RESTART_AT_NOTE = 20;
    private static final long RESUBMIT_TIMEOUT_MS = 20_000;
    private static final long STORE_FAULT_INTERVAL_MS = 1_600;
    private static final long MAX_SUBMIT_PAUSE_MS = 1_200;
    private static final long IN_FORCE_LIMIT_MS = 4_000;
    private static final Set<ResultCode> INDEFINITE_RESULTS =
            Set.of(ResultCode.WRITE_UNANSWERED, ResultCode.STORE_UNAVAILABLE);
    private static final String NO_FAULT = "{\"kind\":\"up\"}";

    /** Faults that are injected into the store in turn. Each ends by itself, most of them before the next one. */
    private static final List<String> STORE_FAULTS = List.of(
            "{\"kind\":\"unanswered\",\"durationMs\":1200,\"probability\":0.5}",
            "{\"kind\":\"down\",\"durationMs\":1300}",
            "{\"kind\":\"delayed-write\",\"durationMs\":1600,\"delayMs\":900,\"probability\":0.6}",
            "{\"kind\":\"slow\",\"durationMs\":1500,\"delayMs\":250}",
            "{\"kind\":\"closed\",\"durationMs\":600}",
            "{\"kind\":\"cut-answer\",\"durationMs\":1000,\"probability\":0.4}");

    /** A release note and the results of all attempts to submit it. Immutable. */
    private record Submission(String id, String text, List<ResultCode> results, long revision) {
        ResultCode finalResult() {
            return results.get(results.size() - 1);
        }

        boolean accepted() {
            return finalResult() == ResultCode.OK;
        }
    }

    @TempDir
    Path directory;

    private final Map<String, Submission> submissions = new ConcurrentHashMap<>();
    private final AtomicInteger nextNote = new AtomicInteger();
    private volatile boolean submittersFinished;

    @Test
    void configurationIsTheSequenceOfAcceptedNotes() throws Exception {
        try (TestCluster cluster = TestCluster.start(directory, "r1/a", "r1/a", "r1/b");
                RevisionMonitor monitor = new RevisionMonitor(cluster)) {
            Configuration start = configuration(cluster);
            CompletableFuture<Void> faults = CompletableFuture.runAsync(() -> injectStoreFaults(cluster));
            ExecutorService pool = Executors.newFixedThreadPool(SUBMITTER_COUNT);
            List<CompletableFuture<Void>> submitterTasks = IntStream.range(0, SUBMITTER_COUNT)
                    .mapToObj(i -> CompletableFuture.runAsync(() -> runSubmitter(cluster, new Random(i)), pool))
                    .toList();
            submitterTasks.forEach(CompletableFuture::join);
            pool.shutdown();
            submittersFinished = true;
            faults.join();

            assertThat(submissions).hasSize(NOTE_COUNT);
            submitLastNote(cluster);
            printSummary(monitor);
            assertConfigurationFollowsAcceptedNotes(start, configuration(cluster));
            assertThat(monitor.violations()).isEmpty();
            assertThat(monitor.incarnations()).isEqualTo(cluster.hosts().size() + 1);
        }
    }

    /** Guards against a restarted daemon that loads an older configuration from a peer or from the store. */
    @Test
    void daemonRestartedInAnOutageShowsNoOlderRevision() {
        try (TestCluster cluster = TestCluster.start(directory, "r1/a", "r1/a", "r1/b");
                RevisionMonitor monitor = new RevisionMonitor(cluster)) {
            submitLastNote(cluster);
            long revisionBefore = submissions.get("last").revision();
            ClusterHost host = cluster.host(2);
            cluster.injectStoreFault("{\"kind\":\"down\"}");
            host.daemon().kill();
            host.startDaemon(List.of());
            cluster.waitUntil("the restarted daemon answers", () -> shownRevision(cluster, host) >= 0);
            long revisionInOutage = shownRevision(cluster, host);
            cluster.injectStoreFault(NO_FAULT);
            cluster.waitUntil("the restarted daemon has a configuration", () -> shownRevision(cluster, host) > 0);

            assertThat(revisionInOutage).isIn(0L, revisionBefore);
            assertThat(shownRevision(cluster, host)).isEqualTo(revisionBefore);
            assertThat(monitor.violations()).isEmpty();
            assertThat(monitor.incarnations()).isEqualTo(cluster.hosts().size() + 1);
        }
    }

    /** Configuration revision in the status of a daemon, or -1 if the daemon does not answer. */
    private static long shownRevision(TestCluster cluster, ClusterHost host) {
        try {
            return cluster.status(host).configurationRevision().value();
        } catch (UncheckedIOException e) {
            return -1;
        }
    }

    private void injectStoreFaults(TestCluster cluster) {
        for (int i = 0; !submittersFinished; i++) {
            cluster.injectStoreFault(STORE_FAULTS.get(i % STORE_FAULTS.size()));
            TestCluster.sleep(STORE_FAULT_INTERVAL_MS);
        }
        cluster.injectStoreFault(NO_FAULT);
    }

    private void runSubmitter(TestCluster cluster, Random random) {
        for (int number = nextNote.getAndIncrement(); number < NOTE_COUNT; number = nextNote.getAndIncrement()) {
            if (number == RESTART_AT_NOTE) {
                ClusterHost host = cluster.host(2);
                host.daemon().kill();
                host.startDaemon(List.of());
            }
            TestCluster.sleep(random.nextLong(MAX_SUBMIT_PAUSE_MS));
            submit(cluster, "race-" + number, noteText("race-" + number, number, currentRevision(cluster)));
        }
    }

    private static String noteText(String id, int number, long basedOn) {
        return "{\"id\":\"" + id + "\",\"basedOn\":" + basedOn + ",\"add\":{\"backends\":[{\"backendName\":\"" + id
                + "\",\"weightPercent\":" + number + "}]},\"change\":{\"services\":[{\"name\":\"" + TestCluster.SERVICE
                + "\",\"maxQueueLength\":" + (100 + number) + "}]}}";
    }

    /** Submits a release note again and again until its result is definite or 20 s have passed. */
    private void submit(TestCluster cluster, String id, String text) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RESUBMIT_TIMEOUT_MS);
        List<ResultCode> results = new ArrayList<>();
        JsonNode result;
        do {
            TestCluster.CtlResult run = cluster.runCtlWithFile(
                    text, "note", "submit", "--json=true", "--wait-ms=0", "--timeout-ms=600", "--store-timeout-ms=300");
            result = lastLineAsJson(run.output());
            results.add(ResultCode.valueOf(result.path("name").asText()));
        } while (INDEFINITE_RESULTS.contains(results.get(results.size() - 1)) && System.nanoTime() - deadlineNanos < 0);
        long revision = result.path("result").path("revision").asLong();
        submissions.put(id, new Submission(id, text, List.copyOf(results), revision));
    }

    /** Submits a last note while the store has no fault; it must be in force on every daemon within the limit. */
    private void submitLastNote(TestCluster cluster) {
        submit(cluster, "last", noteText("last", NOTE_COUNT, currentRevision(cluster)));
        long acceptedNanos = System.nanoTime();
        long revision = submissions.get("last").revision();
        assertThat(submissions.get("last").accepted()).isTrue();
        cluster.waitUntil(
                "the last revision is in force on all daemons",
                () -> cluster.hosts().stream()
                        .allMatch(host ->
                                cluster.status(host).configurationRevision().value() == revision));
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - acceptedNanos);
        System.out.println("note race: last note in force after " + tookMs + " ms");
        assertThat(tookMs).isLessThanOrEqualTo(IN_FORCE_LIMIT_MS);
    }

    private void assertConfigurationFollowsAcceptedNotes(Configuration start, Configuration end) {
        List<Submission> accepted = submissions.values().stream()
                .filter(Submission::accepted)
                .sorted(Comparator.comparing(Submission::revision))
                .toList();
        Configuration expected = start;
        for (Submission submission : accepted) {
            expected = new NoteApplier(expected, environment(start))
                    .apply(new NoteParser().parse(submission.text()).orElseThrow())
                    .orElseThrow();
        }
        assertThat(end).isEqualTo(expected);
        assertThat(accepted.stream().map(Submission::revision).distinct()).hasSize(accepted.size());
        assertThat(submissions.values())
                .allSatisfy(s -> assertThat(s.finalResult()).as(s.id()).isIn(ResultCode.OK, ResultCode.NOTE_CONFLICT));
        assertThat(INDEFINITE_RESULTS.stream().mapToLong(this::countResubmitted).sum())
                .isPositive();
        assertThat(accepted.size()).isBetween(5, NOTE_COUNT - 5);
    }

    private static NoteApplier.Environment environment(Configuration start) {
        return new NoteApplier.Environment(
                Set.of(),
                start.services().stream().map(s -> s.placementPolicy()).collect(Collectors.toSet()),
                start.services().stream().map(s -> s.balancingPolicy()).collect(Collectors.toSet()));
    }

    private void printSummary(RevisionMonitor monitor) {
        long accepted =
                submissions.values().stream().filter(Submission::accepted).count();
        System.out.println("note race: accepted=" + accepted + " refused=" + (submissions.size() - accepted)
                + " unansweredAtFirst=" + countResubmitted(ResultCode.WRITE_UNANSWERED) + " unavailableAtFirst="
                + countResubmitted(ResultCode.STORE_UNAVAILABLE) + " polls=" + monitor.polls() + " failedPolls="
                + monitor.failedPolls()
                + " members=" + monitor.incarnations());
    }

    private long countResubmitted(ResultCode code) {
        return submissions.values().stream()
                .filter(s -> s.results().contains(code))
                .count();
    }

    private static long currentRevision(TestCluster cluster) {
        return Long.parseLong(readConfiguration(cluster)
                .headers()
                .firstValue("crank-revision")
                .orElseThrow());
    }

    private static Configuration configuration(TestCluster cluster) {
        return JsonCodec.decode(readConfiguration(cluster).body(), Configuration.class);
    }

    private static HttpResponse<byte[]> readConfiguration(TestCluster cluster) {
        while (true) {
            try {
                HttpResponse<byte[]> response =
                        cluster.send("GET", cluster.localCluster().storeAddress(), "/v1/objects/config/current", "");
                if (response.statusCode() == 200) {
                    return response;
                }
            } catch (UncheckedIOException e) {
                // One of STORE_FAULTS is active; try again.
                TestCluster.sleep(20);
            }
        }
    }

    private static JsonNode lastLineAsJson(String output) {
        List<String> lines = output.lines().toList();
        try {
            return JsonCodec.mapper().readTree(lines.get(lines.size() - 1));
        } catch (JsonProcessingException e) {
            throw new AssertionError("last line of the output is not JSON: " + output, e);
        }
    }
}
