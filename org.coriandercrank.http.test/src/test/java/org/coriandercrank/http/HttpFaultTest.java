package org.coriandercrank.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.http.HttpClientException.Stage;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.request.Header;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the stage that a failed request reports. The outcome {@code not-run} of an answer depends on it. */
class HttpFaultTest {
    private static final long TIMEOUT_MS = 2_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private HttpServer server;
    private HttpClient client;

    @BeforeEach
    void start() {
        server = HttpServer.listen(
                group,
                new HostAddress("127.0.0.1", 0),
                HttpServerOptions.DEFAULTS,
                2,
                (request, connectionClosed) -> respond(request));
        client = new HttpClient(group, server.address(), HttpClientOptions.DEFAULTS);
    }

    @AfterEach
    void stop() {
        client.close();
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static CompletableFuture<HttpResponse> respond(HttpRequest request) {
        return switch (request.path()) {
            case "/cut" ->
                CompletableFuture.failedFuture(HttpAbortException.midResponse(HttpResponse.text(200, "x".repeat(100))));
            case "/lost" -> CompletableFuture.failedFuture(HttpAbortException.withoutResponse());
            default -> CompletableFuture.completedFuture(HttpResponse.text(200, "ok"));
        };
    }

    private Stage failureStage(HttpRequest request) {
        CompletionException failure = catchThrowableOfType(
                CompletionException.class,
                () -> client.send(request, TIMEOUT_MS).join());
        return ((HttpClientException) failure.getCause()).stage();
    }

    /** Guards against accepting a truncated response as a complete one. */
    @Test
    void truncatedResponseIsAFailureAfterSending() {
        assertThat(failureStage(HttpRequest.of("GET", "/cut"))).isEqualTo(Stage.SENT);
        assertThat(failureStage(HttpRequest.of("GET", "/lost"))).isEqualTo(Stage.SENT);
    }

    /** Guards against reporting a request that cannot be encoded as possibly sent, and only after its timeout. */
    @Test
    void invalidRequestIsNotSentAndKeepsTheConnection() {
        HttpRequest invalid = new HttpRequest("GET", "/", List.of(new Header("x", "a\r\nb")), new byte[0]);
        assertThat(failureStage(invalid)).isEqualTo(Stage.NOT_SENT);
        assertThat(client.send(HttpRequest.of("GET", "/"), TIMEOUT_MS).join().status())
                .isEqualTo(200);
        assertThat(client.openConnections()).isEqualTo(1);
    }

    /**
     * Guards against a client that does not open connections in advance, and against a server that serves more
     * connections than its limit.
     */
    @Test
    void warmUpOpensConnectionsWithinTheServerLimit() throws InterruptedException {
        client.warmUp(5);
        for (int i = 0; i < 100 && server.openConnections() != 2; i++) {
            Thread.sleep(10);
        }
        assertThat(server.peakConnections()).isEqualTo(2);
    }
}
