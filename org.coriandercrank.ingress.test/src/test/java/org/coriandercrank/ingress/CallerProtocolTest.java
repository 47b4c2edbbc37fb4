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

/** Tests the native caller protocol and the shutdown of the caller side over HTTP. */
class CallerProtocolTest {
    private static final long WAIT_TIMEOUT_NANOS = 5_000_000_000L;
    private final IngressFixture fixture =
            new IngressFixture(IngressFixture.snapshotOwnedBy("self", 1), IngressFixture.options(10, 10));

    @AfterEach
    void close() {
        fixture.close();
    }

    /**
     * A request that must be refused.
     *
     * @param fieldOrBody the field that the refusal must name; for oversized requests the body to send
     */
    record InvalidRequest(
            String method, String target, List<Header> headers, ResultCode expectedCode, String fieldOrBody) {}

    private static InvalidRequest invalidPath(String target, ResultCode code, String field) {
        return new InvalidRequest("GET", target, List.of(), code, field);
    }

    private static InvalidRequest invalidHeader(String name, String value, ResultCode code, String field) {
        return new InvalidRequest("GET", "/v1/cardfront/k1", List.of(new Header(name, value)), code, field);
    }

    static Stream<InvalidRequest> malformed() {
        return Stream.of(
                invalidPath("/other", ResultCode.BAD_REQUEST, "path"),
                invalidPath("/v1/nosuch/k1", ResultCode.UNKNOWN_SERVICE, "service"),
                invalidPath("/v1//k1", ResultCode.UNKNOWN_SERVICE, "service"),
                invalidPath("/v1/cardfront", ResultCode.MALFORMED_KEY, "key"),
                invalidPath("/v1/cardfront/", ResultCode.MALFORMED_KEY, "key"),
                invalidPath("/v1/cardfront/a%2", ResultCode.MALFORMED_KEY, "key"),
                invalidPath("/v1/cardfront/a%zz", ResultCode.MALFORMED_KEY, "key"),
                invalidPath("/v1/cardfront/%FF", ResultCode.MALFORMED_KEY, "key"),
                invalidPath("/v1/cardfront/a%00", ResultCode.MALFORMED_KEY, "key"),
                invalidPath("/v1/cardfront/" + "k".repeat(257), ResultCode.MALFORMED_KEY, "key"),
                invalidHeader("crank-deadline-ms", "soon", ResultCode.BAD_DEADLINE, "Crank-Deadline-Ms"),
                invalidHeader("crank-deadline-ms", "0", ResultCode.BAD_DEADLINE, "Crank-Deadline-Ms"),
                invalidHeader("crank-deadline-ms", "30001", ResultCode.BAD_DEADLINE, "Crank-Deadline-Ms"),
                invalidHeader("crank-request-id", "a b", ResultCode.BAD_REQUEST_ID, "Crank-Request-Id"),
                invalidHeader("crank-request-id", "a..2", ResultCode.BAD_REQUEST_ID, "Crank-Request-Id"),
                invalidHeader("crank-request-id", "a".repeat(113), ResultCode.BAD_REQUEST_ID, "Crank-Request-Id"),
                invalidHeader("idempotency-key", "a b", ResultCode.BAD_IDEMPOTENCY_KEY, "Idempotency-Key"),
                invalidHeader("crank-key-age-ms", "5", ResultCode.BAD_IDEMPOTENCY_KEY, "Crank-Key-Age-Ms"),
                invalidHeader("crank-service", "cardfront", ResultCode.MALFORMED_KEY, "key"),
                new InvalidRequest("TRACE", "/v1/cardfront/k1", List.of(), ResultCode.METHOD_NOT_ALLOWED, "method"),
                new InvalidRequest(
                        "GET",
                        "/v1/shadebook/x",
                        List.of(new Header("crank-service", "shadebook"), new Header("crank-key", "k")),
                        ResultCode.BAD_REQUEST,
                        "Crank-Key"));
    }

    @ParameterizedTest
    @MethodSource("malformed")
    void refusesMalformedInputWithItsCodeAndField(InvalidRequest invalidRequest) throws IOException {
        HttpResponse response = fixture.send(
                invalidRequest.method, invalidRequest.target, invalidRequest.headers.toArray(new Header[0]));

        JsonNode body = new ObjectMapper().readTree(response.body());
        assertThat(response.status()).isEqualTo(invalidRequest.expectedCode.httpStatus());
        assertThat(response.header("crank-outcome")).contains("not-run");
        assertThat(body.get("code").asInt()).isEqualTo(invalidRequest.expectedCode.number());
        assertThat(body.get("name").asText()).isEqualTo(invalidRequest.expectedCode.name());
        assertThat(body.get("detail").asText()).startsWith(invalidRequest.fieldOrBody + ":");
        assertThat(response.header("crank-request-id"))
                .contains(body.get("requestId").asText());
        assertThat(fixture.gate.submitted).isEmpty();
    }

    static Stream<InvalidRequest> oversized() {
        String big = "x".repeat(300_000);
        return Stream.of(
                new InvalidRequest("POST", "/v1/cardfront/k1", List.of(), ResultCode.BODY_TOO_LARGE, big),
                new InvalidRequest(
                        "GET", "/v1/cardfront/" + "k".repeat(9_000), List.of(), ResultCode.HEADER_TOO_LARGE, ""),
                new InvalidRequest(
                        "GET",
                        "/v1/cardfront/k1",
                        List.of(new Header("x-big", "x".repeat(17_000))),
                        ResultCode.HEADER_TOO_LARGE,
                        ""));
    }

    @ParameterizedTest
    @MethodSource("oversized")
    void refusesOversizedInputAlsoIfTheHttpLayerRejectsIt(InvalidRequest oversizedRequest) throws IOException {
        String output = sendRaw(oversizedRequest.method + " " + oversizedRequest.target
                + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                + oversizedRequest.headers.stream()
                        .map(h -> h.name() + ": " + h.value() + "\r\n")
                        .reduce("", String::concat)
                + "Content-Length: " + oversizedRequest.fieldOrBody.length() + "\r\n\r\n"
                + oversizedRequest.fieldOrBody);

        assertThat(output).startsWith("HTTP/1.1 " + oversizedRequest.expectedCode.httpStatus());
        assertThat(output).contains("\"name\":\"" + oversizedRequest.expectedCode.name() + "\"");
    }

    @Test
    void forwardsTheRequestUnchanged() {
        HttpResponse response = fixture.send(
                "POST",
                "/v1/cardfront/caf%C3%A9%2F1/shades?x=%20",
                new Header("crank-deadline-ms", "700"),
                new Header("idempotency-key", "i1"),
                new Header("crank-key-age-ms", "12"),
                new Header("crank-fence", "99"),
                new Header("accept", "text/plain"));

        CallerRequest submitted = fixture.gate.submitted.get(0);
        assertThat(submitted.key().orElseThrow().value()).isEqualTo("café/1");
        assertThat(submitted.path()).isEqualTo("/v1/cardfront/caf%C3%A9%2F1/shades?x=%20");
        assertThat(submitted.remainingMs()).isBetween(1L, 700L);
        assertThat(submitted.idempotencyKey()).contains(new IdempotencyKey("i1"));
        assertThat(submitted.idempotencyKeyAgeMs()).hasValue(12);
        assertThat(submitted.headers().stream().map(Header::name))
                .contains("accept")
                .doesNotContain("crank-fence");
        assertThat(response.header("crank-request-id")).contains(submitted.id().value());
        assertThat(response.header("crank-result")).contains("0");
    }

    @Test
    void readsServiceAndKeyFromHeaders() {
        fixture.send("GET", "/any?x=1", new Header("crank-service", "cardfront"), new Header("crank-key", "a%20b"));

        assertThat(fixture.gate.submitted.get(0).key().orElseThrow().value()).isEqualTo("a b");
        assertThat(fixture.gate.submitted.get(0).path()).isEqualTo("/any?x=1");
    }

    @Test
    void cancelsTheRequestWhenTheCallerDisconnects() throws IOException {
        fixture.gate.answerFunction = request -> new CompletableFuture<>();
        try (Socket socket = openSocket()) {
            socket.getOutputStream().write(bytes("GET /v1/cardfront/k1 HTTP/1.1\r\nHost: x\r\n\r\n"));
            await(() -> !fixture.gate.submitted.isEmpty());
        }
        await(() -> !fixture.gate.cancelled.isEmpty());

        assertThat(fixture.gate.cancelled)
                .containsExactly(fixture.gate.submitted.get(0).id());
        await(() -> fixture.ingress.inFlight() == 0);
        assertThat(fixture.meters
                        .get("crank.ingress.requests")
                        .tag("code", "303")
                        .counter()
                        .count())
                .isEqualTo(1);
    }

    /** Guards against a graceful shutdown that aborts a request in flight or still accepts new ones. */
    @Test
    void refusesNewRequestsAndFinishesOthersWhileDraining() {
        CompletableFuture<CallerAnswer> pendingAnswer = new CompletableFuture<>();
        fixture.gate.answerFunction = request -> pendingAnswer;
        CompletableFuture<HttpResponse> first =
                CompletableFuture.supplyAsync(() -> fixture.send("GET", "/v1/cardfront/k1"));
        await(() -> fixture.ingress.inFlight() == 1);

        CompletableFuture<Void> drained = fixture.ingress.drain();
        HttpResponse refused = fixture.send("GET", "/v1/cardfront/k2");
        assertThat(refused.header("crank-result")).contains("206");
        assertThat(refused.header("retry-after")).contains("2");
        assertThat(drained).isNotDone();
        pendingAnswer.complete(CallerAnswer.executed(200, List.of(), new byte[0]));

        assertThat(first.join().header("crank-result")).contains("0");
        drained.join();
        fixture.ingress.stopAccepting();
    }

    /** Guards against a graceful shutdown that truncates a response while it is being written. */
    @Test
    void completesTheDrainOnlyAfterResponsesAreWritten() throws IOException, InterruptedException {
        byte[] body = new byte[16_777_216];
        fixture.gate.answerFunction =
                request -> CompletableFuture.completedFuture(CallerAnswer.executed(200, List.of(), body));
        try (Socket socket = openSocket()) {
            socket.getOutputStream().write(bytes("GET /v1/cardfront/k1 HTTP/1.1\r\nHost: x\r\n\r\n"));
            await(() -> !fixture.gate.submitted.isEmpty() && fixture.ingress.inFlight() == 0);
            CompletableFuture<Void> drained = fixture.ingress.drain();
            Thread.sleep(100);
            assertThat(drained).isNotDone();

            CompletableFuture<Void> closing = drained.thenRun(fixture.ingress::close);
            byte[] output = socket.getInputStream().readAllBytes();

            closing.join();
            assertThat(output).hasSizeGreaterThan(body.length);
        }
    }

    private Socket openSocket() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), fixture.address.port());
    }

    private String sendRaw(String request) throws IOException {
        try (Socket socket = openSocket()) {
            socket.getOutputStream().write(bytes(request));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static void await(java.util.function.BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + WAIT_TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime() - deadlineNanos).as("waited too long").isNegative();
            Thread.onSpinWait();
        }
    }
}
