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
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.coriandercrank.kernel.id.HostAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests requests whose client has given up before a busy event loop gets to them. */
class AbandonedRequestTest {
    private static final long TIMEOUT_S = 10;

    /** Requests of one connection that the server handles concurrently. */
    private static final int MAX_PIPELINED_REQUESTS = 16;

    private final EventLoopGroup serverGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoopGroup clientGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<String> handledTargets = new LinkedBlockingQueue<>();
    private final HttpServer server = HttpServer.listen(
            serverGroup, new HostAddress("127.0.0.1", 0), HttpServerOptions.DEFAULTS, (request, connectionClosed) -> {
                handledTargets.add(request.target());
                return CompletableFuture.completedFuture(HttpResponse.text(200, "ok"));
            });

    @AfterEach
    void stop() {
        server.close();
        serverGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        clientGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Keeps the only thread of a group busy until the latch is released. */
    private static CountDownLatch occupy(EventLoopGroup group) throws InterruptedException {
        CountDownLatch occupied = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        group.next().execute(() -> {
            occupied.countDown();
            awaitUninterruptibly(release);
        });
        assertThat(occupied.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        return release;
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await(TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendAndClose(String... targets) throws IOException {
        StringBuilder requests = new StringBuilder();
        for (String target : targets) {
            requests.append("GET ").append(target).append(" HTTP/1.1\r\nHost: x\r\n\r\n");
        }
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), server.address().port())) {
            socket.getOutputStream().write(requests.toString().getBytes(StandardCharsets.US_ASCII));
        }
    }

    private String nextHandledTarget() throws InterruptedException {
        return handledTargets.poll(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private static HttpRequest get(String target) {
        return new HttpRequest("GET", target, List.of(), new byte[0]);
    }

    /** The end of a connection is read after the request before it, which was already handled by then. */
    @ParameterizedTest
    @ValueSource(strings = {"/left", "/left /left-pipelined /left-last"})
    void requestsReadAfterTheirClientClosedAreNotHandled(String targets) throws Exception {
        CountDownLatch release = occupy(serverGroup);
        sendAndClose(targets.split(" "));
        release.countDown();
        try (HttpClient client = new HttpClient(clientGroup, server.address(), HttpClientOptions.DEFAULTS)) {
            client.send(get("/present"), 5_000).get(TIMEOUT_S, TimeUnit.SECONDS);
        }
        assertThat(nextHandledTarget()).isEqualTo("/present");
        assertThat(handledTargets).isEmpty();
        assertThat(server.pendingResponses()).isZero();
    }

    /** A deadline counted from the start of the handling, which other requests of the same read turn delay. */
    @Test
    void waitForOtherRequestsOfTheTurnIsReported() throws Exception {
        long handlingMs = 200;
        BlockingQueue<Long> waitsNanos = new LinkedBlockingQueue<>();
        HttpHandler slow = new HttpHandler() {
            @Override
            public CompletableFuture<HttpResponse> handle(HttpRequest request, CompletableFuture<Void> closed) {
                return handle(request, closed, 0);
            }

            @Override
            public CompletableFuture<HttpResponse> handle(
                    HttpRequest request, CompletableFuture<Void> closed, long waitedNanos) {
                waitsNanos.add(waitedNanos);
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(handlingMs));
                return CompletableFuture.completedFuture(HttpResponse.text(200, "ok"));
            }
        };
        try (HttpServer slowServer = HttpServer.listen(
                        serverGroup, new HostAddress("127.0.0.1", 0), HttpServerOptions.DEFAULTS, slow);
                Socket socket = new Socket(
                        InetAddress.getLoopbackAddress(), slowServer.address().port())) {
            String request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
            socket.getOutputStream().write(request.repeat(3).getBytes(StandardCharsets.US_ASCII));
            waitsNanos.poll(TIMEOUT_S, TimeUnit.SECONDS);
            waitsNanos.poll(TIMEOUT_S, TimeUnit.SECONDS);
            assertThat(waitsNanos.poll(TIMEOUT_S, TimeUnit.SECONDS))
                    .isGreaterThanOrEqualTo(TimeUnit.MILLISECONDS.toNanos(handlingMs));
        }
    }

    /** At the limit on concurrent requests the server stopped reading, so it did not see that the client had left. */
    @Test
    void closingIsSeenWhileRequestsWaitForEarlierResponses() throws Exception {
        BlockingQueue<CompletableFuture<Void>> closures = new LinkedBlockingQueue<>();
        try (HttpServer waiting = HttpServer.listen(
                        serverGroup,
                        new HostAddress("127.0.0.1", 0),
                        HttpServerOptions.DEFAULTS,
                        (request, connectionClosed) -> {
                            closures.add(connectionClosed);
                            return new CompletableFuture<>();
                        });
                Socket socket = new Socket(
                        InetAddress.getLoopbackAddress(), waiting.address().port())) {
            String request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
            socket.getOutputStream().write(request.repeat(30).getBytes(StandardCharsets.US_ASCII));
            CompletableFuture<Void> first = closures.poll(TIMEOUT_S, TimeUnit.SECONDS);
            socket.close();
            first.get(TIMEOUT_S, TimeUnit.SECONDS);
            for (CompletableFuture<Void> closure : closures) {
                closure.get(TIMEOUT_S, TimeUnit.SECONDS);
            }
            assertThat(closures).hasSize(MAX_PIPELINED_REQUESTS - 1);
        }
    }

    /** A request is handed to the event loop of its connection, where a cancellation can overtake it. */
    @Test
    void requestCancelledBeforeItIsWrittenIsNotSent() throws Exception {
        try (HttpClient client = new HttpClient(clientGroup, server.address(), HttpClientOptions.DEFAULTS)) {
            client.send(get("/first"), 5_000).get(TIMEOUT_S, TimeUnit.SECONDS);
            CountDownLatch release = occupy(clientGroup);
            client.send(get("/cancelled"), 5_000).cancel(false);
            release.countDown();
            client.send(get("/last"), 5_000).get(TIMEOUT_S, TimeUnit.SECONDS);
        }
        assertThat(nextHandledTarget()).isEqualTo("/first");
        assertThat(nextHandledTarget()).isEqualTo("/last");
    }
}
