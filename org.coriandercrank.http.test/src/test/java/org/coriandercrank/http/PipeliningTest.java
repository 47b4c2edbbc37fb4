package org.coriandercrank.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.request.Header;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards the order of answers to requests that a caller sends before it has read the earlier answers. */
class PipeliningTest {
    private static final long ARRIVAL_LIMIT_S = 10;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<String> arrived = new LinkedBlockingQueue<>();
    private final Map<String, CompletableFuture<HttpResponse>> replies = new ConcurrentHashMap<>();
    private final Map<String, CompletableFuture<Void>> closes = new ConcurrentHashMap<>();
    private final HttpServer server =
            HttpServer.listen(group, new HostAddress("127.0.0.1", 0), HttpServerOptions.DEFAULTS, (call, closed) -> {
                closes.put(call.target(), closed);
                CompletableFuture<HttpResponse> reply =
                        replies.computeIfAbsent(call.target(), target -> new CompletableFuture<>());
                arrived.add(call.target());
                return reply;
            });

    @AfterEach
    void stop() {
        server.close();
        group.shutdownGracefully();
    }

    private Socket connect() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), server.address().port());
    }

    private static void send(Socket socket, String... targets) throws IOException {
        StringBuilder requests = new StringBuilder();
        for (String target : targets) {
            requests.append("GET ").append(target).append(" HTTP/1.1\r\nHost: x\r\n\r\n");
        }
        socket.getOutputStream().write(requests.toString().getBytes(StandardCharsets.US_ASCII));
    }

    private void awaitArrival(String... targets) throws InterruptedException {
        for (String target : targets) {
            assertThat(arrived.poll(ARRIVAL_LIMIT_S, TimeUnit.SECONDS)).isEqualTo(target);
        }
    }

    private void reply(String target, Header... headers) {
        replies.get(target).complete(new HttpResponse(200, List.of(headers), target.getBytes(StandardCharsets.US_ASCII)));
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    @Test
    void handlesRequestsTogetherAndAnswersInOrder() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "/1", "/2", "/3");
            awaitArrival("/1", "/2", "/3");
            reply("/3", new Header("connection", "close"));
            reply("/2");
            reply("/1");
            String answers = readAll(socket);
            assertThat(answers.indexOf("/1")).isLessThan(answers.indexOf("/2"));
            assertThat(answers.indexOf("/2")).isLessThan(answers.indexOf("/3"));
            assertThat(answers).containsIgnoringCase("connection: close");
        }
    }

    /** A request that was handed on must get its answer although an earlier answer asked to close the connection. */
    @Test
    void onlyTheLastAnswerClosesTheConnection() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "/1", "/2");
            awaitArrival("/1", "/2");
            reply("/1", new Header("connection", "close"));
            reply("/2", new Header("connection", "close"));
            assertThat(readAll(socket)).contains("/1").contains("/2");
        }
    }

    /** A caller that leaves must be noticed while several of its requests wait. */
    @Test
    void closeOfTheCallerReachesEveryRequest() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "/1", "/2");
            awaitArrival("/1", "/2");
        }
        closes.get("/1").get(ARRIVAL_LIMIT_S, TimeUnit.SECONDS);
        closes.get("/2").get(ARRIVAL_LIMIT_S, TimeUnit.SECONDS);
    }

    @Test
    void malformedRequestIsRejectedAfterTheAnswersBeforeIt() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "/1");
            awaitArrival("/1");
            socket.getOutputStream().write("nonsense\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            reply("/1");
            String answers = readAll(socket);
            assertThat(answers).startsWith("HTTP/1.1 200").contains("HTTP/1.1 400");
        }
    }
}
