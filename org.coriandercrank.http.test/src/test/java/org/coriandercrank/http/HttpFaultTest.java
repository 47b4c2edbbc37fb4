package org.coriandercrank.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.http.HttpCallException.Stage;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.request.Header;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards the classification of failed calls, on which not-run answers depend. */
class HttpFaultTest {
    private static final long TIMEOUT_MS = 2_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private HttpServer server;
    private HttpClient client;

    @BeforeEach
    void start() {
        server = HttpServer.listen(
                group, new HostAddress("127.0.0.1", 0), HttpServerOptions.DEFAULTS, 2, (call, closed) -> answer(call));
        client = new HttpClient(group, server.address(), HttpClientOptions.DEFAULTS);
    }

    @AfterEach
    void stop() {
        client.close();
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static CompletableFuture<HttpReply> answer(HttpCall call) {
        return switch (call.path()) {
            case "/cut" ->
                CompletableFuture.failedFuture(HttpAbortException.midAnswer(HttpReply.text(200, "x".repeat(100))));
            case "/lost" -> CompletableFuture.failedFuture(HttpAbortException.unanswered());
            default -> CompletableFuture.completedFuture(HttpReply.text(200, "ok"));
        };
    }

    private Stage failureStage(HttpCall call) {
        CompletionException failure = catchThrowableOfType(
                CompletionException.class, () -> client.call(call, TIMEOUT_MS).join());
        return ((HttpCallException) failure.getCause()).stage();
    }

    /** Guards against a truncated answer being taken for a whole one. */
    @Test
    void cutAnswerIsAFailureAfterSending() {
        assertThat(failureStage(HttpCall.of("GET", "/cut"))).isEqualTo(Stage.SENT);
        assertThat(failureStage(HttpCall.of("GET", "/lost"))).isEqualTo(Stage.SENT);
    }

    /** Guards against a call that cannot be encoded being reported as possibly sent, after its whole timeout. */
    @Test
    void invalidCallIsNotSentAndKeepsTheConnection() {
        HttpCall invalid = new HttpCall("GET", "/", List.of(new Header("x", "a\r\nb")), new byte[0]);
        assertThat(failureStage(invalid)).isEqualTo(Stage.NOT_SENT);
        assertThat(client.call(HttpCall.of("GET", "/"), TIMEOUT_MS).join().status())
                .isEqualTo(200);
        assertThat(client.openConnections()).isEqualTo(1);
    }

    /** Guards against a pool that opens its first connections only under load, or more than the server serves. */
    @Test
    void warmOpensConnectionsAndServerLimitHolds() throws InterruptedException {
        client.warm(5);
        for (int i = 0; i < 100 && server.openConnections() != 2; i++) {
            Thread.sleep(10);
        }
        assertThat(server.peakConnections()).isEqualTo(2);
    }
}
