package org.coriandercrank.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.IdempotencyKey;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.request.Header;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class CallerProtocolTest {
    private static final long WAIT_LIMIT_NANOS = 5_000_000_000L;
    private final TestWorld world = new TestWorld(TestWorld.ownedBy("self", 1), TestWorld.options(10, 10));

    @AfterEach
    void close() {
        world.close();
    }

    record Malformed(String method, String target, List<Header> headers, ResultCode code, String field) {}

    private static Malformed path(String target, ResultCode code, String field) {
        return new Malformed("GET", target, List.of(), code, field);
    }

    private static Malformed header(String name, String value, ResultCode code, String field) {
        return new Malformed("GET", "/v1/cardfront/k1", List.of(new Header(name, value)), code, field);
    }

    static Stream<Malformed> malformed() {
        return Stream.of(
                path("/other", ResultCode.BAD_REQUEST, "path"),
                path("/v1/nosuch/k1", ResultCode.UNKNOWN_SERVICE, "service"),
                path("/v1//k1", ResultCode.UNKNOWN_SERVICE, "service"),
                path("/v1/cardfront", ResultCode.MALFORMED_KEY, "key"),
                path("/v1/cardfront/", ResultCode.MALFORMED_KEY, "key"),
                path("/v1/cardfront/a%2", ResultCode.MALFORMED_KEY, "key"),
                path("/v1/cardfront/a%zz", ResultCode.MALFORMED_KEY, "key"),
                path("/v1/cardfront/%FF", ResultCode.MALFORMED_KEY, "key"),
                path("/v1/cardfront/a%00", ResultCode.MALFORMED_KEY, "key"),
                path("/v1/cardfront/" + "k".repeat(257), ResultCode.MALFORMED_KEY, "key"),
                header("crank-deadline-ms", "soon", ResultCode.BAD_DEADLINE, "Crank-Deadline-Ms"),
                header("crank-deadline-ms", "0", ResultCode.BAD_DEADLINE, "Crank-Deadline-Ms"),
                header("crank-deadline-ms", "30001", ResultCode.BAD_DEADLINE, "Crank-Deadline-Ms"),
                header("crank-request-id", "a b", ResultCode.BAD_REQUEST_ID, "Crank-Request-Id"),
                header("crank-request-id", "a..2", ResultCode.BAD_REQUEST_ID, "Crank-Request-Id"),
                header("crank-request-id", "a".repeat(113), ResultCode.BAD_REQUEST_ID, "Crank-Request-Id"),
                header("idempotency-key", "a b", ResultCode.BAD_IDEMPOTENCY_KEY, "Idempotency-Key"),
                header("crank-key-age-ms", "5", ResultCode.BAD_IDEMPOTENCY_KEY, "Crank-Key-Age-Ms"),
                header("crank-service", "cardfront", ResultCode.MALFORMED_KEY, "key"),
                new Malformed("TRACE", "/v1/cardfront/k1", List.of(), ResultCode.METHOD_NOT_ALLOWED, "method"),
                new Malformed(
                        "GET",
                        "/v1/shadebook/x",
                        List.of(new Header("crank-service", "shadebook"), new Header("crank-key", "k")),
                        ResultCode.BAD_REQUEST,
                        "Crank-Key"));
    }

    @ParameterizedTest
    @MethodSource("malformed")
    void refusesMalformedInputWithItsCodeAndField(Malformed input) throws IOException {
        HttpResponse reply = world.call(input.method, input.target, input.headers.toArray(new Header[0]));

        JsonNode body = new ObjectMapper().readTree(reply.body());
        assertThat(reply.status()).isEqualTo(input.code.httpStatus());
        assertThat(reply.header("crank-outcome")).contains("not-run");
        assertThat(body.get("code").asInt()).isEqualTo(input.code.number());
        assertThat(body.get("name").asText()).isEqualTo(input.code.name());
        assertThat(body.get("detail").asText()).startsWith(input.field + ":");
        assertThat(reply.header("crank-request-id"))
                .contains(body.get("requestId").asText());
        assertThat(world.gate.submitted).isEmpty();
    }

    static Stream<Malformed> oversized() {
        String big = "x".repeat(300_000);
        return Stream.of(
                new Malformed("POST", "/v1/cardfront/k1", List.of(), ResultCode.BODY_TOO_LARGE, big),
                new Malformed("GET", "/v1/cardfront/" + "k".repeat(9_000), List.of(), ResultCode.HEADER_TOO_LARGE, ""),
                new Malformed(
                        "GET",
                        "/v1/cardfront/k1",
                        List.of(new Header("x-big", "x".repeat(17_000))),
                        ResultCode.HEADER_TOO_LARGE,
                        ""));
    }

    @ParameterizedTest
    @MethodSource("oversized")
    void refusesOversizedInputAlsoIfTheHttpLayerRejectsIt(Malformed input) throws IOException {
        String answer = raw(input.method + " " + input.target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                + input.headers.stream()
                        .map(h -> h.name() + ": " + h.value() + "\r\n")
                        .reduce("", String::concat)
                + "Content-Length: " + input.field.length() + "\r\n\r\n" + input.field);

        assertThat(answer).startsWith("HTTP/1.1 " + input.code.httpStatus());
        assertThat(answer).contains("\"name\":\"" + input.code.name() + "\"");
    }

    @Test
    void passesTheRequestOnAsGiven() {
        HttpResponse reply = world.call(
                "POST",
                "/v1/cardfront/caf%C3%A9%2F1/shades?x=%20",
                new Header("crank-deadline-ms", "700"),
                new Header("idempotency-key", "i1"),
                new Header("crank-key-age-ms", "12"),
                new Header("crank-fence", "99"),
                new Header("accept", "text/plain"));

        CallerRequest seen = world.gate.submitted.get(0);
        assertThat(seen.key().orElseThrow().value()).isEqualTo("café/1");
        assertThat(seen.path()).isEqualTo("/v1/cardfront/caf%C3%A9%2F1/shades?x=%20");
        assertThat(seen.remainingMs()).isBetween(1L, 700L);
        assertThat(seen.idempotencyKey()).contains(new IdempotencyKey("i1"));
        assertThat(seen.idempotencyKeyAgeMs()).hasValue(12);
        assertThat(seen.headers().stream().map(Header::name)).contains("accept").doesNotContain("crank-fence");
        assertThat(reply.header("crank-request-id")).contains(seen.id().value());
        assertThat(reply.header("crank-result")).contains("0");
    }

    @Test
    void takesServiceAndKeyFromHeaders() {
        world.call("GET", "/any?x=1", new Header("crank-service", "cardfront"), new Header("crank-key", "a%20b"));

        assertThat(world.gate.submitted.get(0).key().orElseThrow().value()).isEqualTo("a b");
        assertThat(world.gate.submitted.get(0).path()).isEqualTo("/any?x=1");
    }

    @Test
    void cancelsTheRequestOfACallerThatLeaves() throws IOException {
        world.gate.answers = request -> new CompletableFuture<>();
        try (Socket socket = open()) {
            socket.getOutputStream().write(bytes("GET /v1/cardfront/k1 HTTP/1.1\r\nHost: x\r\n\r\n"));
            await(() -> !world.gate.submitted.isEmpty());
        }
        await(() -> !world.gate.cancelled.isEmpty());

        assertThat(world.gate.cancelled)
                .containsExactly(world.gate.submitted.get(0).id());
        await(() -> world.ingress.inFlight() == 0);
        assertThat(world.meters
                        .get("crank.ingress.requests")
                        .tag("code", "303")
                        .counter()
                        .count())
                .isEqualTo(1);
    }

    /** Guards against a planned stop that cuts off a request in flight or goes on taking new ones. */
    @Test
    void drainsByRefusingNewRequestsAndFinishingOthers() {
        CompletableFuture<CallerAnswer> held = new CompletableFuture<>();
        world.gate.answers = request -> held;
        CompletableFuture<HttpResponse> first =
                CompletableFuture.supplyAsync(() -> world.call("GET", "/v1/cardfront/k1"));
        await(() -> world.ingress.inFlight() == 1);

        CompletableFuture<Void> drained = world.ingress.drain();
        HttpResponse refused = world.call("GET", "/v1/cardfront/k2");
        assertThat(refused.header("crank-result")).contains("206");
        assertThat(refused.header("retry-after")).contains("2");
        assertThat(drained).isNotDone();
        held.complete(CallerAnswer.executed(200, List.of(), new byte[0]));

        assertThat(first.join().header("crank-result")).contains("0");
        drained.join();
        world.ingress.stopAccepting();
    }

    /** Guards against a planned stop that cuts off an answer while it is being written. */
    @Test
    void drainsOnlyAfterAnswersAreWritten() throws IOException, InterruptedException {
        byte[] body = new byte[16_777_216];
        world.gate.answers = request -> CompletableFuture.completedFuture(CallerAnswer.executed(200, List.of(), body));
        try (Socket socket = open()) {
            socket.getOutputStream().write(bytes("GET /v1/cardfront/k1 HTTP/1.1\r\nHost: x\r\n\r\n"));
            await(() -> !world.gate.submitted.isEmpty() && world.ingress.inFlight() == 0);
            CompletableFuture<Void> drained = world.ingress.drain();
            Thread.sleep(100);
            assertThat(drained).isNotDone();

            CompletableFuture<Void> closing = drained.thenRun(world.ingress::close);
            byte[] answer = socket.getInputStream().readAllBytes();

            closing.join();
            assertThat(answer).hasSizeGreaterThan(body.length);
        }
    }

    private Socket open() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), world.address.port());
    }

    private String raw(String request) throws IOException {
        try (Socket socket = open()) {
            socket.getOutputStream().write(bytes(request));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static void await(java.util.function.BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + WAIT_LIMIT_NANOS;
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime() - deadlineNanos).as("waited too long").isNegative();
            Thread.onSpinWait();
        }
    }
}
