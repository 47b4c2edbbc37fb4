package org.coriandercrank.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.HostAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a response that broke off on the way and is taken for a complete one. */
class BrokenResponseTest {
    private static final long TIMEOUT_MS = 5_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void shutDown() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Answers one request with the given bytes and then ends the connection, with a reset if so requested. */
    private static void serveOnce(ServerSocket listener, String response, boolean reset) {
        try (Socket socket = listener.accept()) {
            byte[] request = new byte[4_096];
            assertThat(socket.getInputStream().read(request)).isPositive();
            socket.getOutputStream().write(response.getBytes(US_ASCII));
            Thread.sleep(100);
            if (reset) {
                socket.setSoLinger(true, 0);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @ParameterizedTest
    @CsvSource({
        "'', half, true, false",
        "'', whole, false, true",
        "'content-length: 9\r\n', half, false, false",
        "'content-length: 9\r\n', half, true, false",
        "'transfer-encoding: chunked\r\n', '4\r\nhalf\r\n', false, false",
        "'transfer-encoding: chunked\r\n', '4\r\nhalf\r\n', true, false",
    })
    void responseIsCompleteOnlyIfItsEndArrived(String header, String body, boolean reset, boolean complete)
            throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                HttpClient client = new HttpClient(
                        group, new HostAddress("127.0.0.1", listener.getLocalPort()), HttpClientOptions.DEFAULTS)) {
            CompletableFuture<Void> served = CompletableFuture.runAsync(
                    () -> serveOnce(listener, "HTTP/1.1 200 OK\r\n" + header + "\r\n" + body, reset));
            CompletableFuture<HttpResponse> response = client.send(HttpRequest.of("GET", "/x"), TIMEOUT_MS);
            Throwable failure = catchThrowable(() -> response.get(TIMEOUT_MS, TimeUnit.MILLISECONDS));
            served.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            assertThat(failure == null).isEqualTo(complete);
        }
    }
}
