package org.coriandercrank.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.Iterables;
import com.google.common.util.concurrent.Uninterruptibles;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.EventExecutor;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.coriandercrank.kernel.id.HostAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a server that is closed under load and cuts off requests that it has just read. */
class ServerCloseTest {
    private static final int CLIENTS = 40;
    private static final int REQUESTS_BEFORE_CLOSE = 500;
    private static final int CLIENT_TIMEOUT_MS = 5_000;

    /** Time in which an idle event loop accepts a connection. */
    private static final long ACCEPT_MS = 200;

    private static final byte[] REQUEST = "GET /x HTTP/1.1\r\nhost: h\r\n\r\n".getBytes(US_ASCII);

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final AtomicInteger handled = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();

    @AfterEach
    void shutDown() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Keeps an event loop busy until the latch is released. */
    private static CountDownLatch occupy(EventExecutor loop) throws InterruptedException {
        CountDownLatch occupied = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(() -> {
            occupied.countDown();
            Uninterruptibles.awaitUninterruptibly(release);
        });
        occupied.await();
        return release;
    }

    /** Sends requests on one connection, each after the response to the one before, until the connection ends. */
    private void sendUntilClosed(HostAddress address) {
        try (Socket socket = new Socket(address.ip(), address.port());
                BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), US_ASCII))) {
            while (true) {
                socket.getOutputStream().write(REQUEST);
                String line = in.readLine();
                while (line != null && !line.isEmpty()) {
                    line = in.readLine();
                }
                if (line == null) {
                    return;
                }
                answered.incrementAndGet();
            }
        } catch (IOException e) {
            // The connection was reset, which counts like its end.
        }
    }

    @Test
    void eachRequestThatTheHandlerGotIsAnswered() throws Exception {
        HttpServer server = HttpServer.listen(
                group, new HostAddress("127.0.0.1", 0), HttpServerOptions.DEFAULTS, (request, closed) -> {
                    handled.incrementAndGet();
                    CompletableFuture<HttpResponse> response = new CompletableFuture<>();
                    group.schedule(
                            () -> response.complete(new HttpResponse(200, List.of(), new byte[0])),
                            2,
                            TimeUnit.MILLISECONDS);
                    return response;
                });
        HostAddress address = server.address();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Thread client = new Thread(() -> sendUntilClosed(address), "client-" + i);
            clients.add(client);
            client.start();
        }
        while (handled.get() < REQUESTS_BEFORE_CLOSE) {
            Thread.sleep(1);
        }
        server.close();
        for (Thread client : clients) {
            client.join();
        }
        assertThat(answered.get()).isEqualTo(handled.get());
    }

    /** Guards against a connection that is accepted before the close, registered after it, and then served on. */
    @Test
    void connectionThatIsRegisteredDuringTheCloseIsNotServed() throws Exception {
        HttpServer server = HttpServer.listen(
                group, new HostAddress("127.0.0.1", 0), HttpServerOptions.DEFAULTS, (request, closed) -> {
                    handled.incrementAndGet();
                    return new CompletableFuture<>();
                });
        // The first loop of the group accepts connections, and the second gets the first of them.
        CountDownLatch release = occupy(Iterables.get(group, 1));
        try (Socket socket = new Socket(server.address().ip(), server.address().port())) {
            socket.setSoTimeout(CLIENT_TIMEOUT_MS);
            socket.getOutputStream().write(REQUEST);
            Thread.sleep(ACCEPT_MS);
            assertThat(server.openConnections()).isZero();
            server.close();
            release.countDown();
            assertThat(readUntilClosed(socket)).isZero();
        }
        assertThat(handled).hasValue(0);
    }

    /** Returns the number of bytes before the end of the connection, which may be a reset. */
    private static int readUntilClosed(Socket socket) throws IOException {
        try {
            return socket.getInputStream().readAllBytes().length;
        } catch (SocketException e) {
            return 0;
        }
    }
}
