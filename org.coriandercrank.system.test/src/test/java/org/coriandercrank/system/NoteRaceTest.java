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
 * Guards against notes of which one is applied twice, in part, without being reported, or after it was refused, and
 * against daemons that fall back to an older configuration, while submitters race and the store fails.
 */
class NoteRaceTest {
    private static final int NOTES = 50;
    private static final int SUBMITTERS = 8;
    private static final int RESTART_AT_NOTE = 20;
    private static final long RESOLVE_LIMIT_MS = 20_000;
    private static final long MAX_PAUSE_MS = 1_200;
    private static final long IN_FORCE_LIMIT_MS = 4_000;
    private static final Set<ResultCode> OPEN = Set.of(ResultCode.WRITE_UNANSWERED, ResultCode.STORE_UNAVAILABLE);
    private static final String UP = "{\"kind\":\"up\"}";

    /** Faults of the store in turn, each with a pause in which the store is up. */
    private static final List<String> FAULTS = List.of(
            "{\"kind\":\"unanswered\",\"durationMs\":1200,\"probability\":0.5}",
            "{\"kind\":\"down\",\"durationMs\":1300}",
            "{\"kind\":\"delayed-write\",\"durationMs\":1600,\"delayMs\":900,\"probability\":0.6}",
            "{\"kind\":\"slow\",\"durationMs\":1500,\"delayMs\":250}",
            "{\"kind\":\"closed\",\"durationMs\":600}",
            "{\"kind\":\"cut-answer\",\"durationMs\":1000,\"probability\":0.4}");

    /** A note and the results of all its submissions. Immutable. */
    private record Submission(String id, String text, List<ResultCode> results, long revision) {
        ResultCode last() {
            return results.get(results.size() - 1);
        }

        boolean accepted() {
            return last() == ResultCode.OK;
        }
    }

    @TempDir
    Path directory;

    private final Map<String, Submission> submissions = new ConcurrentHashMap<>();
    private final AtomicInteger nextNote = new AtomicInteger();
    private volatile boolean raceOver;

    @Test
    void configurationIsTheSequenceOfAcceptedNotes() throws Exception {
        try (TestCluster site = TestCluster.start(directory, "r1/a", "r1/a", "r1/b");
                RevisionWatch watch = new RevisionWatch(site)) {
            Configuration start = configuration(site);
            CompletableFuture<Void> faults = CompletableFuture.runAsync(() -> runFaults(site));
            ExecutorService pool = Executors.newFixedThreadPool(SUBMITTERS);
            List<CompletableFuture<Void>> race = IntStream.range(0, SUBMITTERS)
                    .mapToObj(i -> CompletableFuture.runAsync(() -> runSubmitter(site, new Random(i)), pool))
                    .toList();
            race.forEach(CompletableFuture::join);
            pool.shutdown();
            raceOver = true;
            faults.join();

            assertThat(submissions).hasSize(NOTES);
            submitInForce(site);
            report(watch);
            assertSequence(start, configuration(site));
            assertThat(watch.violations()).isEmpty();
            assertThat(watch.incarnations()).isEqualTo(site.hosts().size() + 1);
        }
    }

    /** Guards against a restarted daemon that takes an older configuration from a peer or from the store. */
    @Test
    void daemonRestartedInAnOutageShowsNoOlderRevision() {
        try (TestCluster site = TestCluster.start(directory, "r1/a", "r1/a", "r1/b");
                RevisionWatch watch = new RevisionWatch(site)) {
            submitInForce(site);
            long shown = submissions.get("last").revision();
            ClusterHost host = site.host(2);
            site.storeFault("{\"kind\":\"down\"}");
            host.daemon().kill();
            host.startDaemon(List.of());
            site.waitUntil("restarted daemon answers", () -> revision(site, host) >= 0);
            long revisionInOutage = revision(site, host);
            site.storeFault(UP);
            site.waitUntil("restarted daemon has a configuration", () -> revision(site, host) > 0);

            assertThat(revisionInOutage).isIn(0L, shown);
            assertThat(revision(site, host)).isEqualTo(shown);
            assertThat(watch.violations()).isEmpty();
            assertThat(watch.incarnations()).isEqualTo(site.hosts().size() + 1);
        }
    }

    /** Revision that a daemon shows, or -1 if it does not answer. */
    private static long revision(TestCluster site, ClusterHost host) {
        try {
            return site.status(host).configurationRevision().value();
        } catch (UncheckedIOException e) {
            return -1;
        }
    }

    private void runFaults(TestCluster site) {
        for (int i = 0; !raceOver; i++) {
            site.storeFault(FAULTS.get(i % FAULTS.size()));
            TestCluster.sleep(1_600);
        }
        site.storeFault(UP);
    }

    private void runSubmitter(TestCluster site, Random random) {
        for (int number = nextNote.getAndIncrement(); number < NOTES; number = nextNote.getAndIncrement()) {
            if (number == RESTART_AT_NOTE) {
                ClusterHost host = site.host(2);
                host.daemon().kill();
                host.startDaemon(List.of());
            }
            TestCluster.sleep(random.nextLong(MAX_PAUSE_MS));
            submit(site, "race-" + number, text("race-" + number, number, currentRevision(site)));
        }
    }

    private static String text(String id, int number, long basedOn) {
        return "{\"id\":\"" + id + "\",\"basedOn\":" + basedOn + ",\"add\":{\"backends\":[{\"backendName\":\"" + id
                + "\",\"weightPercent\":" + number + "}]},\"change\":{\"services\":[{\"name\":\"" + TestCluster.SERVICE
                + "\",\"maxQueueLength\":" + (100 + number) + "}]}}";
    }

    /** Submits a text until it has a definite answer. */
    private void submit(TestCluster site, String id, String text) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RESOLVE_LIMIT_MS);
        List<ResultCode> results = new ArrayList<>();
        JsonNode answer;
        do {
            TestCluster.CtlRun run = site.ctlWithFile(
                    text, "note", "submit", "--json=true", "--wait-ms=0", "--timeout-ms=600", "--store-timeout-ms=300");
            answer = lastLine(run.output());
            results.add(ResultCode.valueOf(answer.path("name").asText()));
        } while (OPEN.contains(results.get(results.size() - 1)) && System.nanoTime() - deadlineNanos < 0);
        long revision = answer.path("result").path("revision").asLong();
        submissions.put(id, new Submission(id, text, List.copyOf(results), revision));
    }

    /** The last acceptance, with the store up, must reach every daemon in time. */
    private void submitInForce(TestCluster site) {
        submit(site, "last", text("last", NOTES, currentRevision(site)));
        long acceptedNanos = System.nanoTime();
        long revision = submissions.get("last").revision();
        assertThat(submissions.get("last").accepted()).isTrue();
        site.waitUntil(
                "last revision in force",
                () -> site.hosts().stream()
                        .allMatch(host ->
                                site.status(host).configurationRevision().value() == revision));
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - acceptedNanos);
        System.out.println("note race: last note in force after " + tookMs + " ms");
        assertThat(tookMs).isLessThanOrEqualTo(IN_FORCE_LIMIT_MS);
    }

    private void assertSequence(Configuration start, Configuration end) {
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
                .allSatisfy(s -> assertThat(s.last()).as(s.id()).isIn(ResultCode.OK, ResultCode.NOTE_CONFLICT));
        assertThat(OPEN.stream().mapToLong(this::resubmitted).sum()).isPositive();
        assertThat(accepted.size()).isBetween(5, NOTES - 5);
    }

    private static NoteApplier.Environment environment(Configuration start) {
        return new NoteApplier.Environment(
                Set.of(),
                start.services().stream().map(s -> s.placementPolicy()).collect(Collectors.toSet()),
                start.services().stream().map(s -> s.balancingPolicy()).collect(Collectors.toSet()));
    }

    private void report(RevisionWatch watch) {
        long accepted =
                submissions.values().stream().filter(Submission::accepted).count();
        System.out.println("note race: accepted=" + accepted + " refused=" + (submissions.size() - accepted)
                + " unansweredAtFirst=" + resubmitted(ResultCode.WRITE_UNANSWERED) + " unavailableAtFirst="
                + resubmitted(ResultCode.STORE_UNAVAILABLE) + " polls=" + watch.polls() + " failedPolls="
                + watch.failedPolls()
                + " members=" + watch.incarnations());
    }

    private long resubmitted(ResultCode code) {
        return submissions.values().stream()
                .filter(s -> s.results().contains(code))
                .count();
    }

    private static long currentRevision(TestCluster site) {
        return Long.parseLong(
                readConfiguration(site).headers().firstValue("crank-revision").orElseThrow());
    }

    private static Configuration configuration(TestCluster site) {
        return JsonCodec.decode(readConfiguration(site).body(), Configuration.class);
    }

    private static HttpResponse<byte[]> readConfiguration(TestCluster site) {
        while (true) {
            try {
                HttpResponse<byte[]> answer =
                        site.call("GET", site.site().storeAddress(), "/v1/objects/config/current", "");
                if (answer.statusCode() == 200) {
                    return answer;
                }
            } catch (UncheckedIOException e) {
                // The store is in one of the faults above.
                TestCluster.sleep(20);
            }
        }
    }

    private static JsonNode lastLine(String output) {
        List<String> lines = output.lines().toList();
        try {
            return JsonCodec.mapper().readTree(lines.get(lines.size() - 1));
        } catch (JsonProcessingException e) {
            throw new AssertionError("no JSON: " + output, e);
        }
    }
}
