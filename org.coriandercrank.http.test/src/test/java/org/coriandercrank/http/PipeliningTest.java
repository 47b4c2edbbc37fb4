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

/** Tests the order of responses to pipelined requests, which a client sends without waiting for earlier responses. */
class PipeliningTest {
    private static final long ARRIVAL_TIMEOUT_S = 10;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<String> arrivedTargets = new LinkedBlockingQueue<>();
    private final Map<String, CompletableFuture<HttpResponse>> responses = new ConcurrentHashMap<>();
    private final Map<String, CompletableFuture<Void>> connectionClosures = new ConcurrentHashMap<>();
    private final HttpServer server = HttpServer.listen(
            group, new HostAddress("127.0.0.1", 0), HttpServerOptions.DEFAULTS, (request, connectionClosed) -> {
                connectionClosures.put(request.target(), connectionClosed);
                CompletableFuture<HttpResponse> response =
                        responses.computeIfAbsent(request.target(), target -> new CompletableFuture<>());
                arrivedTargets.add(request.target());
                return response;
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
            assertThat(arrivedTargets.poll(ARRIVAL_TIMEOUT_S, TimeUnit.SECONDS)).isEqualTo(target);
        }
    }

    private void completeResponse(String target, Header... headers) {
        responses
                .get(target)
                .complete(new HttpResponse(200, List.of(headers), target.getBytes(StandardCharsets.US_ASCII)));
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    @Test
    void handlesRequestsConcurrentlyAndRespondsInOrder() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "/1", "/2", "/3");
            awaitArrival("/1", "/2", "/3");
            completeResponse("/3", new Header("connection", "close"));
            completeResponse("/2");
            completeResponse("/1");
            String output = readAll(socket);
            assertThat(output.indexOf("/1")).isLessThan(output.indexOf("/2"));
            assertThat(output.indexOf("/2")).isLessThan(output.indexOf("/3"));
            assertThat(output).containsIgnoringCase("connection: close");
        }
    }

    /** Guards against a lost response to a request when the response to an earlier one asks to close the connection. */
    @Test
    void onlyTheLastResponseClosesTheConnection() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "/1", "/2");
            awaitArrival("/1", "/2");
            completeResponse("/1", new Header("connection", "close"));
            completeResponse("/2", new Header("connection", "close"));
            assertThat(readAll(socket)).contains("/1").contains("/2");
        }
    }

    /** Guards against work for a client that closed its connection while several of its requests were pending. */
    @Test
    void closedConnectionIsSignalledToEveryRequest() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "/1", "/2");
            awaitArrival("/1", "/2");
        }
        connectionClosures.get("/1").get(ARRIVAL_TIMEOUT_S, TimeUnit.SECONDS);
        connectionClosures.get("/2").get(ARRIVAL_TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Test
    void malformedRequestIsRejectedAfterEarlierResponses() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "/1");
            awaitArrival("/1");
            socket.getOutputStream().write("nonsense\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            completeResponse("/1");
            String output = readAll(socket);
            assertThat(output).startsWith("HTTP/1.1 200").contains("HTTP/1.1 400");
        }
    }
}
