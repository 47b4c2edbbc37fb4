package org.coriandercrank.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.status.DaemonStatus;
import org.coriandercrank.load.Execution;
import org.coriandercrank.load.LedgerReader;
import org.coriandercrank.testkit.HostSpec;
import org.coriandercrank.testkit.ClusterHost;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against faults between the parts of the path from caller to backend server, with real processes. */
class WholePathTest {
    private static final String KEYED = "/v1/" + TestCluster.SERVICE + "/";
    private static final String UNKEYED_SERVICE = "shadebook";
    private static final int BODY_LIMIT_BYTES = 4_096;
    private static final int KEYED_HOSTS = 3;
    private static final long SLOW_MS = 1_000;

    @TempDir
    static Path directory;

    private static TestCluster site;

    @BeforeAll
    static void startSite() {
        List<HostSpec> specs = List.of(
                new HostSpec("desk-1", "r1", "a", TestCluster.SERVICE),
                new HostSpec("desk-2", "r1", "a", TestCluster.SERVICE),
                new HostSpec("desk-3", "r1", "b", TestCluster.SERVICE),
                new HostSpec("book-1", "r1", "a", UNKEYED_SERVICE),
                new HostSpec("book-2", "r1", "a", UNKEYED_SERVICE));
        site = TestCluster.start(
                directory,
                specs,
                "{\"id\":\"first\",\"basedOn\":0,\"add\":{\"services\":[{\"name\":\"" + TestCluster.SERVICE
                        + "\",\"keyed\":true,\"maxBodyBytes\":" + BODY_LIMIT_BYTES + "},{\"name\":\"" + UNKEYED_SERVICE
                        + "\",\"keyed\":false}]}}");
        site.waitUntil(
                "the unkeyed service answers",
                () -> site.hosts().stream()
                        .allMatch(h ->
                                call(h, "GET", "/v1/" + UNKEYED_SERVICE, "").statusCode() < 500));
    }

    @AfterAll
    static void stopSite() {
        site.close();
    }

    private static HttpResponse<byte[]> call(
            ClusterHost host, String method, String path, String body, String... headers) {
        return site.call(method, host.callerAddress(), path, body, headers);
    }

    private static String text(HttpResponse<byte[]> answer) {
        return new String(answer.body(), StandardCharsets.UTF_8);
    }

    private static String header(HttpResponse<byte[]> answer, String name) {
        return answer.headers().firstValue(name).orElse("");
    }

    private static void assertExecuted(HttpResponse<byte[]> answer) {
        assertThat(header(answer, "Crank-Result")).as(text(answer)).isEqualTo("0");
        assertThat(header(answer, "Crank-Outcome")).isEqualTo("run");
    }

    private static List<Execution> executions(String requestId) {
        return LedgerReader.read(site.ledgers()).stream()
                .filter(e -> e.callerRequestId().equals(requestId))
                .toList();
    }

    @Test
    void everyDaemonGivesTheOwnersAnswer() {
        Set<String> owners = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            String path = KEYED + "ticket-" + i;
            ClusterHost writer = site.host(i % site.hosts().size());
            HttpResponse<byte[]> written = call(writer, "PUT", path, "state " + i);
            assertExecuted(written);
            String owner = header(written, "Crank-Owner");
            owners.add(owner);
            for (ClusterHost reader : site.hosts()) {
                HttpResponse<byte[]> read = call(reader, "GET", path, "");
                assertExecuted(read);
                assertThat(text(read)).isEqualTo("state " + i);
                assertThat(header(read, "Crank-Owner")).isEqualTo(owner).isNotEmpty();
            }
        }
        assertThat(owners).hasSizeGreaterThan(1).hasSizeLessThanOrEqualTo(KEYED_HOSTS);
    }

    @Test
    void unkeyedRequestsAreSpreadOverTheirServers() {
        for (int i = 0; i < 100; i++) {
            assertExecuted(call(site.host(i % 3), "PUT", "/v1/" + UNKEYED_SERVICE + "/spread", "x"));
        }
        List<Execution> spread = LedgerReader.read(site.ledgers()).stream()
                .filter(e -> e.method().equals("PUT") && e.server().startsWith("book-"))
                .toList();
        assertThat(spread).hasSizeGreaterThanOrEqualTo(100);
        assertThat(spread.stream().filter(e -> e.server().equals("book-1")).count())
                .isBetween(spread.size() / 4L, spread.size() * 3L / 4);
    }

    @Test
    void methodsReachTheServer() {
        ClusterHost host = site.host(0);
        String path = KEYED + "methods";
        assertExecuted(call(host, "PUT", path, "a"));
        assertExecuted(call(host, "POST", path, "b"));
        HttpResponse<byte[]> read = call(host, "GET", path, "");
        assertThat(text(read)).isEqualTo("ab");
        HttpResponse<byte[]> head = call(host, "HEAD", path, "");
        assertExecuted(head);
        assertThat(head.statusCode()).isEqualTo(200);
        assertThat(head.body()).isEmpty();
        assertExecuted(call(host, "DELETE", path, ""));
        HttpResponse<byte[]> missing = call(host, "GET", path, "");
        assertExecuted(missing);
        assertThat(missing.statusCode()).isEqualTo(404);
    }

    @Test
    void requestIdIsEchoedOrGenerated() {
        HttpResponse<byte[]> given = call(site.host(0), "GET", KEYED + "id", "", "Crank-Request-Id: mine-1");
        assertThat(header(given, "Crank-Request-Id")).isEqualTo("mine-1");
        HttpResponse<byte[]> generated = call(site.host(0), "GET", KEYED + "id", "");
        assertThat(header(generated, "Crank-Request-Id")).isNotEmpty();
    }

    @Test
    void oneConnectionCarriesSeveralRequests() {
        StringBuilder requests = new StringBuilder();
        for (int i = 1; i <= 5; i++) {
            requests.append("GET ")
                    .append(KEYED)
                    .append("alive-")
                    .append(i)
                    .append(" HTTP/1.1\r\nHost: x\r\n")
                    .append("Crank-Request-Id: alive-")
                    .append(i)
                    .append("\r\n")
                    .append(i == 5 ? "Connection: close\r\n\r\n" : "\r\n");
        }
        String answers = RawCaller.text(site.host(1).callerAddress(), requests.toString());
        assertThat(answers.lines()
                        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("crank-request-id"))
                        .map(line -> line.substring(line.indexOf(' ') + 1)))
                .containsExactly("alive-1", "alive-2", "alive-3", "alive-4", "alive-5");
    }

    @Test
    void bodyLimitIsExact() {
        HttpResponse<byte[]> atLimit = call(site.host(0), "PUT", KEYED + "big", "x".repeat(BODY_LIMIT_BYTES));
        assertExecuted(atLimit);
        HttpResponse<byte[]> above = call(site.host(0), "PUT", KEYED + "big", "x".repeat(BODY_LIMIT_BYTES + 1));
        assertThat(above.statusCode()).isEqualTo(413);
        assertThat(header(above, "Crank-Result")).isEqualTo("103");
        assertThat(header(above, "Crank-Outcome")).isEqualTo("not-run");
    }

    private record Bad(int number, String field, String requestLine, List<String> headers) {}

    private static Bad path(int number, String field, String target) {
        return new Bad(number, field, "GET " + target + " HTTP/1.1", List.of());
    }

    private static Bad header(int number, String field, String... headers) {
        return new Bad(number, field, "GET " + KEYED + "k HTTP/1.1", List.of(headers));
    }

    static Stream<Bad> badInputs() {
        return Stream.of(
                path(100, "path", "/nothing"),
                path(100, "path", "/v2/counter-desk/k"),
                path(101, "service", "/v1/nowhere/k"),
                path(101, "service", "/v1//k"),
                path(102, "key", "/v1/" + TestCluster.SERVICE),
                path(102, "key", KEYED),
                path(102, "key", KEYED + "%zz"),
                path(102, "key", KEYED + "a%00"),
                path(102, "key", KEYED + "%ff"),
                path(102, "key", KEYED + "k".repeat(257)),
                path(104, "header", KEYED + "k".repeat(9_000)),
                header(100, "Crank-Key", "Crank-Service: " + UNKEYED_SERVICE, "Crank-Key: k"),
                header(100, "Crank-Service", "Crank-Service: a", "Crank-Service: b"),
                header(102, "key", "Crank-Service: " + TestCluster.SERVICE),
                header(102, "Crank-Key", "Crank-Service: " + TestCluster.SERVICE, "Crank-Key: a", "Crank-Key: b"),
                header(104, "header", "X-Big: " + "x".repeat(17_000)),
                header(105, "Crank-Deadline-Ms", "Crank-Deadline-Ms: soon"),
                header(105, "Crank-Deadline-Ms", "Crank-Deadline-Ms: 0"),
                header(105, "Crank-Deadline-Ms", "Crank-Deadline-Ms: 30001"),
                header(105, "Crank-Deadline-Ms", "Crank-Deadline-Ms: 5", "Crank-Deadline-Ms: 5"),
                new Bad(106, "method", "TRACE " + KEYED + "k HTTP/1.1", List.of()),
                header(107, "Idempotency-Key", "Idempotency-Key: a b"),
                header(107, "Idempotency-Key", "Idempotency-Key: " + "a".repeat(129)),
                header(107, "Idempotency-Key", "Idempotency-Key: a", "Idempotency-Key: b"),
                header(107, "Crank-Key-Age-Ms", "Crank-Key-Age-Ms: 5"),
                header(107, "Crank-Key-Age-Ms", "Idempotency-Key: a", "Crank-Key-Age-Ms: -1"),
                header(109, "Crank-Request-Id", "Crank-Request-Id: a b"),
                header(109, "Crank-Request-Id", "Crank-Request-Id: a..2"),
                header(109, "Crank-Request-Id", "Crank-Request-Id: " + "a".repeat(113)),
                header(109, "Crank-Request-Id", "Crank-Request-Id: a", "Crank-Request-Id: b"),
                new Bad(100, "request", "GET " + KEYED + "k", List.of()));
    }

    @ParameterizedTest
    @MethodSource("badInputs")
    void badInputIsRefusedByNumberAndField(Bad input) throws IOException {
        RawCaller.Answer answer =
                RawCaller.call(site.host(0).callerAddress(), input.requestLine(), input.headers(), "");

        assertThat(answer.header("Crank-Result")).as(answer.text()).contains(Integer.toString(input.number()));
        assertThat(answer.header("Crank-Outcome")).contains("not-run");
        assertThat(answer.status()).isBetween(400, 499);
        JsonNode body = new ObjectMapper().readTree(answer.body());
        assertThat(body.get("code").asInt()).isEqualTo(input.number());
        assertThat(body.get("detail").asText()).startsWithIgnoringCase(input.field() + ":");
        assertThat(answer.header("Crank-Request-Id"))
                .contains(body.get("requestId").asText());
    }

    private static void slow(Runnable whileSlow) {
        String fault = "{\"kind\":\"slow\",\"delayMs\":" + SLOW_MS + "}";
        site.hosts().forEach(h -> site.call("POST", h.backendAddress(), "/admin/faults", fault));
        try {
            whileSlow.run();
        } finally {
            site.hosts().forEach(h -> site.call("POST", h.backendAddress(), "/admin/faults", "{\"kind\":\"up\"}"));
        }
    }

    @Test
    void callerThatLeavesCancelsItsRequest() {
        slow(() -> {
            for (ClusterHost host : site.hosts().subList(0, KEYED_HOSTS)) {
                String id = "left-" + host.spec().name();
                RawCaller.leaveAfter(
                        host.callerAddress(),
                        "PUT " + KEYED + "leave HTTP/1.1\r\nHost: x\r\nCrank-Request-Id: " + id
                                + "\r\nContent-Length: 1\r\n\r\nx",
                        SLOW_MS / 4);
            }
            assertExecuted(call(site.host(0), "PUT", KEYED + "stay", "x", "Crank-Request-Id: stayed"));
            TestCluster.sleep(SLOW_MS);
        });
        assertThat(executions("stayed")).hasSize(1);
        for (ClusterHost host : site.hosts().subList(0, KEYED_HOSTS)) {
            assertThat(executions("left-" + host.spec().name())).isEmpty();
        }
    }

    @Test
    void passedDeadlineIsAnsweredInTimeAndTruthfully() {
        slow(() -> {
            for (ClusterHost host : site.hosts()) {
                String id = "late-" + host.spec().name();
                long startNanos = System.nanoTime();
                HttpResponse<byte[]> answer = callLate(host, id);
                long tookMs = (System.nanoTime() - startNanos) / 1_000_000;

                assertThat(answer.statusCode()).isGreaterThanOrEqualTo(500);
                assertThat(tookMs).isBetween(200L, SLOW_MS);
                assertThat(header(answer, "Crank-Outcome")).isIn("not-run", "unknown");
                TestCluster.sleep(SLOW_MS + 200);
                if (header(answer, "Crank-Outcome").equals("not-run")) {
                    assertThat(executions(id)).isEmpty();
                }
            }
        });
    }

    /** Asks often, because the deadline of the daemon and the refusal of the server race. */
    @Test
    void passedDeadlineIsAnsweredWith504() {
        List<String> answers = new ArrayList<>();
        slow(() -> site.hosts().forEach(host -> {
            HttpResponse<byte[]> answer =
                    callLate(host, "late-504-" + host.spec().name());
            answers.add(answer.statusCode() + " " + header(answer, "Crank-Result") + " at "
                    + host.spec().name() + " from " + header(answer, "Crank-Owner"));
        }));
        assertThat(answers).allMatch(answer -> answer.startsWith("504 "));
    }

    private static HttpResponse<byte[]> callLate(ClusterHost host, String id) {
        return call(host, "PUT", KEYED + "late", "x", "Crank-Request-Id: " + id, "Crank-Deadline-Ms: 300");
    }

    @Test
    void repeatWithTheSameIdempotencyKeyGetsTheKeptAnswer() {
        String path = KEYED + "once";
        HttpResponse<byte[]> first = call(
                site.host(0),
                "POST",
                path,
                "x",
                "Crank-Request-Id: once-1",
                "Idempotency-Key: op-1",
                "Crank-Key-Age-Ms: 0");
        HttpResponse<byte[]> second = call(
                site.host(4),
                "POST",
                path,
                "x",
                "Crank-Request-Id: once-2",
                "Idempotency-Key: op-1",
                "Crank-Key-Age-Ms: 50");
        HttpResponse<byte[]> other =
                call(site.host(1), "POST", path, "y", "Idempotency-Key: op-1", "Crank-Key-Age-Ms: 90");

        assertExecuted(first);
        assertExecuted(second);
        assertThat(second.statusCode()).isEqualTo(first.statusCode());
        assertThat(second.body()).isEqualTo(first.body());
        assertThat(header(second, "Crank-Request-Id")).isEqualTo("once-2");
        assertThat(executions("once-1")).hasSize(1);
        assertThat(executions("once-2")).isEmpty();
        assertThat(other.statusCode()).isEqualTo(422);
        assertThat(header(other, "Crank-Result")).isEqualTo("108");
        assertThat(text(call(site.host(2), "GET", path, ""))).isEqualTo("x");
    }

    static Stream<byte[]> wrongFrames() {
        byte[] random = new byte[256];
        new Random(3).nextBytes(random);
        random[0] = 0x11;
        byte[] unreadable = new byte[104];
        new Random(4).nextBytes(unreadable);
        System.arraycopy(new byte[] {0, 0, 0, 100}, 0, unreadable, 0, 4);
        return Stream.of(
                random,
                unreadable,
                new byte[] {0x7f, -1, -1, -1},
                new byte[] {-1, -1, -1, -1},
                new byte[] {0, 0, 0, 0},
                "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    @ParameterizedTest
    @MethodSource("wrongFrames")
    void wrongFrameEndsOnlyItsConnection(byte[] frame) {
        ClusterHost host = site.host(0);
        RawCaller.bytes(host.peerAddress(), frame);

        assertThat(host.daemon().isAlive()).isTrue();
        for (int i = 0; i < 4; i++) {
            assertExecuted(call(site.host(2), "GET", KEYED + "frame-" + i, ""));
            assertExecuted(call(host, "GET", KEYED + "frame-" + i, ""));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "[]",
                "null",
                "\"x\"",
                "{\"name\":\"x\"}",
                "{\"name\":\"x\",\"slots\":1,\"maxConnections\":1,\"capabilities\":[]}",
                "{\"name\":\"x\",\"service\":\"a b\",\"address\":\"127.0.0.1:1\",\"slots\":1,\"maxConnections\":1,"
                        + "\"capabilities\":[]}",
                "{\"name\":\"x\",\"service\":\"a\",\"address\":\"127.0.0.1:1\",\"slots\":0,\"maxConnections\":1,"
                        + "\"capabilities\":[\"FLIGHT\"]}"
            })
    void unreadableAnnouncementIsRefusedAndChangesNothing(String body) {
        ClusterHost host = site.host(0);
        HttpResponse<byte[]> answer = site.call("POST", host.adminAddress(), "/v1/backend", body);

        assertThat(answer.statusCode()).as(text(answer)).isEqualTo(400);
        assertThat(site.status(host).backendName()).contains("desk-1");
        assertExecuted(call(host, "GET", KEYED + "announced", ""));
    }

    @Test
    void adminEndpointsAnswer() {
        for (ClusterHost host : site.hosts()) {
            HostAddress admin = host.adminAddress();
            assertThat(text(site.call("GET", admin, "/live", ""))).isEqualTo("live\n");
            HttpResponse<byte[]> ready = site.call("GET", admin, "/ready", "");
            assertThat(ready.statusCode()).isEqualTo(200);
            assertThat(text(ready)).isEqualTo("READY\n");
            assertThat(text(site.call("GET", admin, "/metrics", "")))
                    .contains("crank_ingress_requests_total", "jvm_memory");
            DaemonStatus status = site.status(host);
            assertThat(status.leaseRemainingMs()).isPositive();
            assertThat(status.backendName()).contains(host.spec().name());
            assertThat(site.call("GET", admin, "/nothing", "").statusCode()).isEqualTo(404);
        }
    }
}
