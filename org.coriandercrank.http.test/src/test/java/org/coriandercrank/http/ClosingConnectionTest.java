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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.request.Header;
import org.junit.jupiter.api.Test;

/** Tests connections that the server closes after a response. */
class ClosingConnectionTest {
    /** Large enough that the first response is still being written when the second request arrives. */
    private static final int BODY_BYTES = 16_777_216;

    /** Time in which the server handles a request and starts to write the response. */
    private static final long RESPONSE_START_DELAY_MS = 200;

    /** Guards against handling requests whose response cannot be written because the connection is being closed. */
    @Test
    void handlesNoRequestAfterAResponseThatClosesTheConnection() throws IOException, InterruptedException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        AtomicInteger handledRequests = new AtomicInteger();
        HttpHandler handler = (request, connectionClosed) -> {
            handledRequests.incrementAndGet();
            return CompletableFuture.completedFuture(
                    new HttpResponse(503, List.of(new Header("connection", "close")), new byte[BODY_BYTES]));
        };
        try (HttpServer server =
                        HttpServer.listen(group, new HostAddress("127.0.0.1", 0), HttpServerOptions.DEFAULTS, handler);
                Socket socket = new Socket(
                        InetAddress.getLoopbackAddress(), server.address().port())) {
            byte[] request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
            socket.getOutputStream().write(request);
            Thread.sleep(RESPONSE_START_DELAY_MS);
            socket.getOutputStream().write(request);
            Thread.sleep(RESPONSE_START_DELAY_MS);
            byte[] response = socket.getInputStream().readAllBytes();

            assertThat(new String(response, 0, 200, StandardCharsets.US_ASCII))
                    .startsWith("HTTP/1.1 503")
                    .containsIgnoringCase("connection: close");
            assertThat(response).hasSizeGreaterThan(BODY_BYTES);
            assertThat(handledRequests).hasValue(1);
        } finally {
            group.shutdownGracefully();
        }
    }

    /** Guards against a connection reset that discards the rejection while the client is still sending its body. */
    @Test
    void deliversARejectionWhileTheBodyIsStillBeingSent() throws IOException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        HttpServerOptions options =
                new HttpServerOptions(8_192, 16_384, 1_000, status -> HttpResponse.text(status, "rejected"));
        HttpHandler handler =
                (request, connectionClosed) -> CompletableFuture.completedFuture(HttpResponse.text(200, "ok"));
        try (HttpServer server = HttpServer.listen(group, new HostAddress("127.0.0.1", 0), options, handler)) {
            for (int i = 0; i < 20; i++) {
                try (Socket socket = new Socket(
                        InetAddress.getLoopbackAddress(), server.address().port())) {
                    String head = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
                    socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
                    socket.getOutputStream().write(new byte[BODY_BYTES]);
                    String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);

                    assertThat(response).startsWith("HTTP/1.1 413");
                }
            }
        } finally {
            group.shutdownGracefully();
        }
    }
}
