package org.coriandercrank.adapters;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.coriandercrank.http.HttpClient;
import org.coriandercrank.http.HttpClientOptions;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.http.HttpServer;
import org.coriandercrank.http.HttpServerOptions;
import org.coriandercrank.kernel.backend.BackendHealth;
import org.coriandercrank.kernel.backend.BackendServer;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.kernel.settings.SettingsLoader;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.standin.BackendSettings;
import org.coriandercrank.standin.CrankBackend;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs the contract over HTTP against {@code crank-backend}, and tests that are specific to HTTP. */
class HttpBackendServerTest extends BackendServerContract {
    private static final PluginRegistry REGISTRY = PluginRegistry.load();
    private static final HostAddress ANY_PORT = new HostAddress("127.0.0.1", 0);
    private static final long TIMEOUT_MS = 2_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @TempDir
    Path directory;

    /**
     * Bound before the program to its port, and not listening: connections are refused once the program has ended, and no
     * other process can use the port meanwhile.
     */
    private final Socket portReservation = new Socket();

    private CrankBackend backendProgram;
    private HttpClient adminClient;
    private BackendServer server;

    @AfterEach
    void stop() throws Exception {
        portReservation.close();
        server.close();
        backendProgram.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    @Override
    BackendServer start(Setup setup) {
        String capabilities = setup.capabilities().stream()
                .map(capability -> capability.name().toLowerCase(Locale.ROOT))
                .collect(Collectors.joining(","));
        // The server accepts more connections than announced, so that an adapter that opens too many is detected.
        startProgram(
                "--slots=" + setup.slots(),
                "--max-connections=" + (setup.maxConnections() + 5),
                "--service-ms=" + setup.serviceMs(),
                "--capabilities=" + capabilities);
        BackendInfo info = backendProgram.info();
        return connect(new BackendInfo(
                info.name(),
                info.service(),
                info.address(),
                setup.slots(),
                setup.maxConnections(),
                info.capabilities()));
    }

    private BackendServer connect(BackendInfo info) {
        server = REGISTRY.get(PluginRegistry.Kind.BACKEND, HttpAdapterPlugin.NAME)
                .connect(info);
        return server;
    }

    private void startProgram(String... flags) {
        List<String> arguments = new ArrayList<>(List.of(flags));
        arguments.add("--service=counter-desk");
        arguments.add("--listen=" + reservePort());
        arguments.add("--ledger-file=" + directory.resolve("ledger"));
        backendProgram = CrankBackend.start(SettingsLoader.load(new BackendSettings(), arguments, Map.of()));
        adminClient = new HttpClient(
                group, backendProgram.info().address(), HttpClientOptions.DEFAULTS.withMaxConnections(1));
    }

    private HostAddress reservePort() {
        try {
            portReservation.setReuseAddress(true);
            portReservation.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new HostAddress("127.0.0.1", portReservation.getLocalPort());
    }

    /** Ends the program. A closed listener can accept connections until its event loop has run once more. */
    private void endProgram() throws Exception {
        backendProgram.close();
        Await.eventually(() -> !acceptsConnections(backendProgram.info().address()));
    }

    private static boolean acceptsConnections(HostAddress address) {
        try (Socket socket = new Socket(address.ip(), address.port())) {
            return socket.isConnected();
        } catch (ConnectException e) {
            return false;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private HttpResponse sendAdminRequest(String method, String path, String json) {
        HttpResponse response =
                adminClient.send(HttpRequest.of(method, path, json), TIMEOUT_MS).join();
        assertThat(response.status()).isEqualTo(200);
        return response;
    }

    @Override
    void inject(BackendFault fault) throws Exception {
        if (fault == BackendFault.UNREACHABLE) {
            endProgram();
            // Until the client has detected that its open connections were closed, OUTCOME_UNKNOWN is correct.
            Thread.sleep(100);
        } else if (fault != BackendFault.NONE) {
            String kind = fault.name().toLowerCase(Locale.ROOT).replace('_', '-');
            sendAdminRequest("POST", "/admin/faults", "{\"kind\":\"" + kind + "\",\"delayMs\":" + SLOW_MS + "}");
        }
    }

    @Override
    List<Long> executions(RequestId id) {
        try (var lines = Files.lines(directory.resolve("ledger"))) {
            return lines.map(line -> JsonCodec.decode(line.getBytes(StandardCharsets.UTF_8), JsonNode.class))
                    .filter(entry -> entry.path("requestId").asText().equals(id.value()))
                    .map(entry -> entry.path("fence").asLong())
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    int peakConnections() {
        JsonNode stats =
                JsonCodec.decode(sendAdminRequest("GET", "/admin/stats", "").body(), JsonNode.class);
        return stats.path("peakConnections").asInt() - adminClient.openConnections();
    }

    /** Guards against a grant that was sent before the server was suspended and becomes valid when it resumes. */
    @ParameterizedTest
    @CsvSource({"0, OK", "900, OK", "1100, FENCE_REJECTED"})
    void validityStartsWhenGrantIsSent(long ageMs, ResultCode expected) throws Exception {
        BackendServer backend = start(Setup.withServiceMs(1));
        String clock = sendAdminRequest("GET", "/control/clock", "")
                .header("crank-clock")
                .orElseThrow();
        int colon = clock.indexOf(':');
        long sentAtNanos = Long.parseLong(clock.substring(colon + 1)) - TimeUnit.MILLISECONDS.toNanos(ageMs);
        HttpRequest request = new HttpRequest(
                "PUT",
                "/control/grant",
                List.of(new Header("crank-sent-at", clock.substring(0, colon + 1) + sentAtNanos)),
                JsonCodec.encode(grant(1, 5, 1_000)));
        assertThat(adminClient.send(request, TIMEOUT_MS).join().status()).isEqualTo(200);
        assertThat(Await.code(backend.execute(put("r1", 5, TIMEOUT_MS)))).isEqualTo(expected);
    }

    /** Guards against a grant that is lost, or measured by the clock of the old process, after a server is replaced. */
    @Test
    void grantReachesReplacedProcess() throws Exception {
        BackendServer backend = start(Setup.withServiceMs(1));
        Await.value(backend.grant(grant(1, 5, 60_000)));
        String address = backendProgram.info().address().toString();
        endProgram();
        backendProgram = CrankBackend.start(SettingsLoader.load(
                new BackendSettings(), List.of("--service=counter-desk", "--listen=" + address), Map.of()));
        Await.eventually(() -> backend.grant(grant(2, 5, 60_000))
                .handle((sequence, failure) -> failure == null)
                .join());
        assertThat(Await.code(backend.execute(put("r1", 5, TIMEOUT_MS)))).isEqualTo(ResultCode.OK);
    }

    /** Guards against a response without a result of the call that is reported as executed or as not executed. */
    @ParameterizedTest
    @CsvSource({
        "200, ,         OK",
        "404, ,         OK",
        "500, ,         OK",
        "502, ,         OUTCOME_UNKNOWN",
        "503, ,         OUTCOME_UNKNOWN",
        "503, none,     BACKEND_UNAVAILABLE",
        "503, overload, OVERLOADED",
        "409, fence,    FENCE_REJECTED",
        "999, ,         OUTCOME_UNKNOWN",
    })
    void mapsResponses(int status, String notRunReason, ResultCode expected) throws Exception {
        startProgram();
        List<Header> headers = notRunReason == null
                ? List.of()
                : List.of(new Header("crank-not-run", "true"), new Header("crank-reason", notRunReason));
        HttpResponse response = new HttpResponse(status, headers, new byte[0]);
        try (HttpServer other = HttpServer.listen(
                group,
                ANY_PORT,
                HttpServerOptions.DEFAULTS,
                (request, closed) -> CompletableFuture.completedFuture(response))) {
            BackendInfo info = backendProgram.info();
            connect(new BackendInfo(info.name(), info.service(), other.address(), 1, 1, info.capabilities()));
            assertThat(Await.code(server.execute(put("r1", 5, TIMEOUT_MS)))).isEqualTo(expected);
        }
    }

    /**
     * Guards against a {@code crank-backend} that reports correct health although the test requests outdated or false
     * reports.
     */
    @Test
    void healthReportCanLagOrBeWrong() throws Exception {
        startProgram("--health-lag-ms=200", "--slots=1");
        connect(backendProgram.info());
        Await.value(server.drain());
        assertThat(Await.value(server.health()).draining()).isFalse();
        Await.eventually(() -> server.health().join().draining());
        sendAdminRequest("POST", "/admin/health", "{\"healthy\":false,\"draining\":false,\"load\":77}");
        assertThat(Await.value(server.health())).isEqualTo(new BackendHealth(false, false, 77));
    }

    /** Guards against a server that stays unknown to a daemon that starts or restarts later. */
    @Test
    void announcesItselfUntilAcceptedAndRepeatedly() throws Exception {
        AtomicInteger announcements = new AtomicInteger();
        List<BackendInfo> announcedInfos = new CopyOnWriteArrayList<>();
        try (HttpServer daemon = HttpServer.listen(group, ANY_PORT, HttpServerOptions.DEFAULTS, (request, closed) -> {
            announcedInfos.add(JsonCodec.decode(request.body(), BackendInfo.class));
            int status = announcements.incrementAndGet() == 1 ? 503 : 200;
            return CompletableFuture.completedFuture(HttpResponse.text(status, request.path()));
        })) {
            startProgram("--daemon=" + daemon.address(), "--capabilities=fence");
            connect(backendProgram.info());
            Await.eventually(() -> announcements.get() >= 3);
            assertThat(announcedInfos).allMatch(backendProgram.info()::equals);
        }
    }

    /**
     * Guards against an adapter that omits the send time, so that the validity of a grant starts on arrival, and against
     * one that states another time than that of the call: the clock of the server is read after the first call and
     * before the second.
     */
    @Test
    void grantStatesSendTimeOnServerClock() throws Exception {
        startProgram();
        List<HttpRequest> requests = new CopyOnWriteArrayList<>();
        HttpResponse response = new HttpResponse(
                200, List.of(new Header("crank-clock", "i:1000")), JsonCodec.encode(Map.of("sequence", 4)));
        try (HttpServer other = HttpServer.listen(group, ANY_PORT, HttpServerOptions.DEFAULTS, (request, closed) -> {
            requests.add(request);
            return CompletableFuture.completedFuture(response);
        })) {
            BackendInfo info = backendProgram.info();
            connect(new BackendInfo(info.name(), info.service(), other.address(), 1, 1, info.capabilities()));
            long startNanos = System.nanoTime();
            assertThat(Await.value(server.grant(grant(4, 5, 1_000)))).isEqualTo(4);
            assertThat(statedNanos(requests)).isBetween(1_000L - (System.nanoTime() - startNanos), 1_000L);
            // Longer than a pause of the adapter between its readings of the two clocks, which makes the time earlier.
            Thread.sleep(100);
            assertThat(Await.value(server.grant(grant(4, 5, 1_000)))).isEqualTo(4);
            assertThat(statedNanos(requests)).isBetween(1_000L, 1_000L + System.nanoTime() - startNanos);
        }
    }

    /** Returns the sending time on the server's clock that the latest request states. */
    private static long statedNanos(List<HttpRequest> requests) {
        String sentAt =
                requests.get(requests.size() - 1).header("crank-sent-at").orElseThrow();
        assertThat(sentAt).startsWith("i:");
        return Long.parseLong(sentAt.substring(2));
    }

    /** Guards against a cancellation that is lost because it arrives before its request, on another connection. */
    @Test
    void cancellationBeforeRequestStopsRequest() throws Exception {
        BackendServer backend = start(Setup.withServiceMs(1));
        Await.value(backend.grant(grant(1, 5, 60_000)));
        sendAdminRequest("POST", "/control/cancel/r1", "");
        assertThat(Await.code(backend.execute(put("r1", 5, TIMEOUT_MS)))).isEqualTo(ResultCode.BACKEND_UNAVAILABLE);
        assertThat(executions(new RequestId("r1"))).isEmpty();
    }

    /** Guards against a cold start without cost, which would hide a missing slow start of the gate. */
    @Test
    void coldStartTakesLonger() throws Exception {
        startProgram("--service-ms=20", "--cold-start-ms=60000", "--cold-start-factor=10", "--capabilities=none");
        connect(backendProgram.info());
        long sentAtNanos = System.nanoTime();
        assertThat(Await.code(server.execute(put("r1", 5, TIMEOUT_MS)))).isEqualTo(ResultCode.OK);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAtNanos))
                .isGreaterThanOrEqualTo(100);
    }

    /** Guards against a ledger that cannot be parsed or that differs from the ledger file. */
    @Test
    void ledgerListsExecutions() throws Exception {
        BackendServer backend = start(Setup.withServiceMs(5));
        Await.value(backend.grant(grant(1, 5, 60_000)));
        Await.value(backend.execute(put("r1", 5, TIMEOUT_MS)));
        String text = sendAdminRequest("GET", "/ledger", "").bodyText();
        assertThat(text).isEqualTo(Files.readString(directory.resolve("ledger")));
        JsonNode entry = JsonCodec.mapper().readTree(text);
        assertThat(entry.path("key").asText()).isEqualTo("ticket 7/\u00e4");
        assertThat(entry.path("order").asLong()).isEqualTo(1);
        assertThat(entry.path("endNanos").asLong() - entry.path("startNanos").asLong())
                .isGreaterThan(4_000_000);
    }
}
