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
import org.coriandercrank.testkit.ClusterHost;
import org.coriandercrank.testkit.HostSpec;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against errors in the interplay of callers, daemons and backend servers, with real processes. */
class RequestPathTest {
    private static final String KEYED_PATH = "/v1/" + TestCluster.SERVICE + "/";
    private static final String UNKEYED_SERVICE = "shadebook";
    private static final int BODY_LIMIT_BYTES = 4_096;
    private static final int KEYED_HOSTS = 3;
    private static final long SLOW_SERVER_DELAY_MS = 1_000;

    @TempDir
    static Path directory;

    private static TestCluster cluster;

    @BeforeAll
    static void startCluster() {
        List<HostSpec> specs = List.of(
                new HostSpec("desk-1", "r1", "a", TestCluster.SERVICE),
                new HostSpec("desk-2", "r1", "a", TestCluster.SERVICE),
                new HostSpec("desk-3", "r1", "b", TestCluster.SERVICE),
                new HostSpec("book-1", "r1", "a", UNKEYED_SERVICE),
                new HostSpec("book-2", "r1", "a", UNKEYED_SERVICE));
        cluster = TestCluster.start(
                directory,
                specs,
                "{\"id\":\"first\",\"basedOn\":0,\"add\":{\"services\":[{\"name\":\"" + TestCluster.SERVICE
                        + "\",\"keyed\":true,\"maxBodyBytes\":" + BODY_LIMIT_BYTES + "},{\"name\":\"" + UNKEYED_SERVICE
                        + "\",\"keyed\":false}]}}");
        cluster.waitUntil(
                "every daemon gets responses of the unkeyed service",
                () -> cluster.hosts().stream()
                        .allMatch(h ->
                                call(h, "GET", "/v1/" + UNKEYED_SERVICE, "").statusCode() < 500));
    }

    @AfterAll
    static void closeCluster() {
        cluster.close();
    }

    private static HttpResponse<byte[]> call(
            ClusterHost host, String method, String path, String body, String... headers) {
        return cluster.send(method, host.callerAddress(), path, body, headers);
    }

    private static String text(HttpResponse<byte[]> response) {
        return new String(response.body(), StandardCharsets.UTF_8);
    }

    private static String header(HttpResponse<byte[]> response, String name) {
        return response.headers().firstValue(name).orElse("");
    }

    private static void assertExecuted(HttpResponse<byte[]> response) {
        assertThat(header(response, "Crank-Result")).as(text(response)).isEqualTo("0");
        assertThat(header(response, "Crank-Outcome")).isEqualTo("run");
    }

    private static List<Execution> executions(String requestId) {
        return LedgerReader.read(cluster.ledgerFiles()).stream()
                .filter(e -> e.callerRequestId().equals(requestId))
                .toList();
    }

    @Test
    void everyDaemonGivesTheOwnersAnswer() {
        Set<String> owners = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            String path = KEYED_PATH + "ticket-" + i;
            ClusterHost writer = cluster.host(i % cluster.hosts().size());
            HttpResponse<byte[]> written = call(writer, "PUT", path, "state " + i);
            assertExecuted(written);
            String owner = header(written, "Crank-Owner");
            owners.add(owner);
            for (ClusterHost reader : cluster.hosts()) {
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
            assertExecuted(call(cluster.host(i % 3), "PUT", "/v1/" + UNKEYED_SERVICE + "/spread", "x"));
        }
        List<Execution> writes = LedgerReader.read(cluster.ledgerFiles()).stream()
                .filter(e -> e.method().equals("PUT") && e.server().startsWith("book-"))
                .toList();
        assertThat(writes).hasSizeGreaterThanOrEqualTo(100);
        assertThat(writes.stream().filter(e -> e.server().equals("book-1")).count())
                .isBetween(writes.size() / 4L, writes.size() * 3L / 4);
    }

    @Test
    void methodsReachTheServer() {
        ClusterHost host = cluster.host(0);
        String path = KEYED_PATH + "methods";
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
        HttpResponse<byte[]> given = call(cluster.host(0), "GET", KEYED_PATH + "id", "", "Crank-Request-Id: mine-1");
        assertThat(header(given, "Crank-Request-Id")).isEqualTo("mine-1");
        HttpResponse<byte[]> generated = call(cluster.host(0), "GET", KEYED_PATH + "id", "");
        assertThat(header(generated, "Crank-Request-Id")).isNotEmpty();
    }

    @Test
    void oneConnectionCarriesSeveralRequests() {
        StringBuilder requests = new StringBuilder();
        for (int i = 1; i <= 5; i++) {
            requests.append("GET ")
                    .append(KEYED_PATH)
                    .append("alive-")
                    .append(i)
                    .append(" HTTP/1.1\r\nHost: x\r\n")
                    .append("Crank-Request-Id: alive-")
                    .append(i)
                    .append("\r\n")
                    .append(i == 5 ? "Connection: close\r\n\r\n" : "\r\n");
        }
        String responses = RawHttpClient.sendText(cluster.host(1).callerAddress(), requests.toString());
        assertThat(responses
                        .lines()
                        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("crank-request-id"))
                        .map(line -> line.substring(line.indexOf(' ') + 1)))
                .containsExactly("alive-1", "alive-2", "alive-3", "alive-4", "alive-5");
    }

    @Test
    void bodyLimitIsExact() {
        HttpResponse<byte[]> atLimit = call(cluster.host(0), "PUT", KEYED_PATH + "big", "x".repeat(BODY_LIMIT_BYTES));
        assertExecuted(atLimit);
        HttpResponse<byte[]> above = call(cluster.host(0), "PUT", KEYED_PATH + "big", "x".repeat(BODY_LIMIT_BYTES + 1));
        assertThat(above.statusCode()).isEqualTo(413);
        assertThat(header(above, "Crank-Result")).isEqualTo("103");
        assertThat(header(above, "Crank-Outcome")).isEqualTo("not-run");
    }

    private record InvalidRequest(int code, String field, String requestLine, List<String> headers) {}

    private static InvalidRequest invalidPath(int code, String field, String target) {
        return new InvalidRequest(code, field, "GET " + target + " HTTP/1.1", List.of());
    }

    private static InvalidRequest invalidHeader(int code, String field, String... headers) {
        return new InvalidRequest(code, field, "GET " + KEYED_PATH + "k HTTP/1.1", List.of(headers));
    }

    static Stream<InvalidRequest> invalidRequests() {
        return Stream.of(
                invalidPath(100, "path", "/nothing"),
                invalidPath(100, "path", "/v2/counter-desk/k"),
                invalidPath(101, "service", "/v1/nowhere/k"),
                invalidPath(101, "service", "/v1//k"),
                invalidPath(102, "key", "/v1/" + TestCluster.SERVICE),
                invalidPath(102, "key", KEYED_PATH),
                invalidPath(102, "key", KEYED_PATH + "%zz"),
                invalidPath(102, "key", KEYED_PATH + "a%00"),
                invalidPath(102, "key", KEYED_PATH + "%ff"),
                invalidPath(102, "key", KEYED_PATH + "k".repeat(257)),
                invalidPath(104, "header", KEYED_PATH + "k".repeat(9_000)),
                invalidHeader(100, "Crank-Key", "Crank-Service: " + UNKEYED_SERVICE, "Crank-Key: k"),
                invalidHeader(100, "Crank-Service", "Crank-Service: a", "Crank-Service: b"),
                invalidHeader(102, "key", "Crank-Service: " + TestCluster.SERVICE),
                invalidHeader(
                        102, "Crank-Key", "Crank-Service: " + TestCluster.SERVICE, "Crank-Key: a", "Crank-Key: b"),
                invalidHeader(104, "header", "X-Big: " + "x".repeat(17_000)),
                invalidHeader(105, "Crank-Deadline-Ms", "Crank-Deadline-Ms: soon"),
                invalidHeader(105, "Crank-Deadline-Ms", "Crank-Deadline-Ms: 0"),
                invalidHeader(105, "Crank-Deadline-Ms", "Crank-Deadline-Ms: 30001"),
                invalidHeader(105, "Crank-Deadline-Ms", "Crank-Deadline-Ms: 5", "Crank-Deadline-Ms: 5"),
                new InvalidRequest(106, "method", "TRACE " + KEYED_PATH + "k HTTP/1.1", List.of()),
                invalidHeader(107, "Idempotency-Key", "Idempotency-Key: a b"),
                invalidHeader(107, "Idempotency-Key", "Idempotency-Key: " + "a".repeat(129)),
                invalidHeader(107, "Idempotency-Key", "Idempotency-Key: a", "Idempotency-Key: b"),
                invalidHeader(107, "Crank-Key-Age-Ms", "Crank-Key-Age-Ms: 5"),
                invalidHeader(107, "Crank-Key-Age-Ms", "Idempotency-Key: a", "Crank-Key-Age-Ms: -1"),
                invalidHeader(109, "Crank-Request-Id", "Crank-Request-Id: a b"),
                invalidHeader(109, "Crank-Request-Id", "Crank-Request-Id: a..2"),
                invalidHeader(109, "Crank-Request-Id", "Crank-Request-Id: " + "a".repeat(113)),
                invalidHeader(109, "Crank-Request-Id", "Crank-Request-Id: a", "Crank-Request-Id: b"),
                new InvalidRequest(100, "request", "GET " + KEYED_PATH + "k", List.of()));
    }

    @ParameterizedTest
    @MethodSource("invalidRequests")
    void invalidRequestIsRejectedWithCodeAndField(InvalidRequest input) throws IOException {
        RawHttpClient.Response response =
                RawHttpClient.send(cluster.host(0).callerAddress(), input.requestLine(), input.headers(), "");

        assertThat(response.header("Crank-Result")).as(response.text()).contains(Integer.toString(input.code()));
        assertThat(response.header("Crank-Outcome")).contains("not-run");
        assertThat(response.status()).isBetween(400, 499);
        JsonNode body = new ObjectMapper().readTree(response.body());
        assertThat(body.get("code").asInt()).isEqualTo(input.code());
        assertThat(body.get("detail").asText()).startsWithIgnoringCase(input.field() + ":");
        assertThat(response.header("Crank-Request-Id"))
                .contains(body.get("requestId").asText());
    }

    private static void withSlowServers(Runnable whileSlow) {
        String fault = "{\"kind\":\"slow\",\"delayMs\":" + SLOW_SERVER_DELAY_MS + "}";
        cluster.hosts().forEach(h -> cluster.send("POST", h.backendAddress(), "/admin/faults", fault));
        try {
            whileSlow.run();
        } finally {
            cluster.hosts()
                    .forEach(h -> cluster.send("POST", h.backendAddress(), "/admin/faults", "{\"kind\":\"up\"}"));
        }
    }

    @Test
    void disconnectOfTheCallerCancelsItsRequest() {
        withSlowServers(() -> {
            for (ClusterHost host : cluster.hosts().subList(0, KEYED_HOSTS)) {
                String id = "left-" + host.spec().name();
                RawHttpClient.disconnectAfter(
                        host.callerAddress(),
                        "PUT " + KEYED_PATH + "leave HTTP/1.1\r\nHost: x\r\nCrank-Request-Id: " + id
                                + "\r\nContent-Length: 1\r\n\r\nx",
                        SLOW_SERVER_DELAY_MS / 4);
            }
            assertExecuted(call(cluster.host(0), "PUT", KEYED_PATH + "stay", "x", "Crank-Request-Id: stayed"));
            TestCluster.sleep(SLOW_SERVER_DELAY_MS);
        });
        assertThat(executions("stayed")).hasSize(1);
        for (ClusterHost host : cluster.hosts().subList(0, KEYED_HOSTS)) {
            assertThat(executions("left-" + host.spec().name())).isEmpty();
        }
    }

    @Test
    void expiredDeadlineIsAnsweredInTimeWithCorrectOutcome() {
        withSlowServers(() -> {
            for (ClusterHost host : cluster.hosts()) {
                String id = "late-" + host.spec().name();
                long startNanos = System.nanoTime();
                HttpResponse<byte[]> response = callWithShortDeadline(host, id);
                long tookMs = (System.nanoTime() - startNanos) / 1_000_000;

                assertThat(response.statusCode()).isGreaterThanOrEqualTo(500);
                assertThat(tookMs).isBetween(200L, SLOW_SERVER_DELAY_MS);
                assertThat(header(response, "Crank-Outcome")).isIn("not-run", "unknown");
                TestCluster.sleep(SLOW_SERVER_DELAY_MS + 200);
                if (header(response, "Crank-Outcome").equals("not-run")) {
                    assertThat(executions(id)).isEmpty();
                }
            }
        });
    }

    /**
     * Sends a request to every daemon, because the expiry of the deadline in the daemon races with the rejection by the
     * backend server.
     */
    @Test
    void expiredDeadlineIsAnsweredWith504() {
        List<String> responses = new ArrayList<>();
        withSlowServers(() -> cluster.hosts().forEach(host -> {
            HttpResponse<byte[]> response =
                    callWithShortDeadline(host, "late-504-" + host.spec().name());
            responses.add(response.statusCode() + " " + header(response, "Crank-Result") + " at "
                    + host.spec().name() + " from " + header(response, "Crank-Owner"));
        }));
        assertThat(responses).allMatch(response -> response.startsWith("504 "));
    }

    private static HttpResponse<byte[]> callWithShortDeadline(ClusterHost host, String id) {
        return call(host, "PUT", KEYED_PATH + "late", "x", "Crank-Request-Id: " + id, "Crank-Deadline-Ms: 300");
    }

    @Test
    void repeatWithTheSameIdempotencyKeyGetsTheRetainedAnswer() {
        String path = KEYED_PATH + "once";
        HttpResponse<byte[]> first = call(
                cluster.host(0),
                "POST",
                path,
                "x",
                "Crank-Request-Id: once-1",
                "Idempotency-Key: op-1",
                "Crank-Key-Age-Ms: 0");
        HttpResponse<byte[]> second = call(
                cluster.host(4),
                "POST",
                path,
                "x",
                "Crank-Request-Id: once-2",
                "Idempotency-Key: op-1",
                "Crank-Key-Age-Ms: 50");
        HttpResponse<byte[]> other =
                call(cluster.host(1), "POST", path, "y", "Idempotency-Key: op-1", "Crank-Key-Age-Ms: 90");

        assertExecuted(first);
        assertExecuted(second);
        assertThat(second.statusCode()).isEqualTo(first.statusCode());
        assertThat(second.body()).isEqualTo(first.body());
        assertThat(header(second, "Crank-Request-Id")).isEqualTo("once-2");
        assertThat(executions("once-1")).hasSize(1);
        assertThat(executions("once-2")).isEmpty();
        assertThat(other.statusCode()).isEqualTo(422);
        assertThat(header(other, "Crank-Result")).isEqualTo("108");
        assertThat(text(call(cluster.host(2), "GET", path, ""))).isEqualTo("x");
    }

    static Stream<byte[]> malformedFrames() {
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
    @MethodSource("malformedFrames")
    void malformedFrameClosesOnlyItsConnection(byte[] frame) {
        ClusterHost host = cluster.host(0);
        RawHttpClient.sendBytes(host.peerAddress(), frame);

        assertThat(host.daemon().isAlive()).isTrue();
        for (int i = 0; i < 4; i++) {
            assertExecuted(call(cluster.host(2), "GET", KEYED_PATH + "frame-" + i, ""));
            assertExecuted(call(host, "GET", KEYED_PATH + "frame-" + i, ""));
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
    void invalidAnnouncementIsRejectedAndChangesNothing(String body) {
        ClusterHost host = cluster.host(0);
        HttpResponse<byte[]> response = cluster.send("POST", host.adminAddress(), "/v1/backend", body);

        assertThat(response.statusCode()).as(text(response)).isEqualTo(400);
        assertThat(cluster.status(host).backendName()).contains("desk-1");
        assertExecuted(call(host, "GET", KEYED_PATH + "announced", ""));
    }

    @Test
    void adminEndpointsAnswer() {
        for (ClusterHost host : cluster.hosts()) {
            HostAddress admin = host.adminAddress();
            assertThat(text(cluster.send("GET", admin, "/live", ""))).isEqualTo("live\n");
            HttpResponse<byte[]> ready = cluster.send("GET", admin, "/ready", "");
            assertThat(ready.statusCode()).isEqualTo(200);
            assertThat(text(ready)).isEqualTo("READY\n");
            assertThat(text(cluster.send("GET", admin, "/metrics", "")))
                    .contains("crank_ingress_requests_total", "jvm_memory");
            DaemonStatus status = cluster.status(host);
            assertThat(status.leaseRemainingMs()).isPositive();
            assertThat(status.backendName()).contains(host.spec().name());
            assertThat(cluster.send("GET", admin, "/nothing", "").statusCode()).isEqualTo(404);
        }
    }
}
