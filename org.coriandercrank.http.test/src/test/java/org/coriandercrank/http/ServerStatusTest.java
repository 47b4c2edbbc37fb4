package org.coriandercrank.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.request.Header;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an invalid status that a handler returns and that reaches a caller. */
class ServerStatusTest {
    private static final int READ_TIMEOUT_MS = 5_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private HttpServer server;

    @BeforeEach
    void start() {
        server = HttpServer.listen(
                group,
                new HostAddress("127.0.0.1", 0),
                HttpServerOptions.DEFAULTS,
                (request, connectionClosed) -> CompletableFuture.completedFuture(new HttpResponse(
                        Integer.parseInt(request.path().substring(1)),
                        List.of(new Header("x-not-executed", "1")),
                        "body".getBytes(US_ASCII))));
    }

    @AfterEach
    void stop() {
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private String send(String... targets) throws Exception {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), server.address().port())) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < targets.length; i++) {
                requests.append("GET /").append(targets[i]).append(" HTTP/1.1\r\nhost: a\r\n");
                requests.append(i == targets.length - 1 ? "connection: close\r\n\r\n" : "\r\n");
            }
            socket.getOutputStream().write(requests.toString().getBytes(US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), US_ASCII);
        }
    }

    /** The request may have been executed, so the replacement is the status of an unknown outcome, without statements. */
    @ParameterizedTest
    @ValueSource(ints = {0, 7, 20, 99, 100, 101, 103, 199, 600, 999, 1_000, 2_000})
    void invalidStatusIsAnsweredAsUnknown(int status) throws Exception {
        String output = send(Integer.toString(status));
        assertThat(output).startsWith("HTTP/1.1 502 ").doesNotContain("not-executed");
        assertThat(send(Integer.toString(status), "200"))
                .startsWith("HTTP/1.1 502 ")
                .contains("HTTP/1.1 200 ");
    }

    /** Such a response with a length or a body is rejected by this client, and others take the body for the next one. */
    @ParameterizedTest
    @ValueSource(ints = {204, 205, 304})
    void responseThatHasNoBodyIsWrittenWithoutOne(int status) throws Exception {
        String output = send(Integer.toString(status), "200");
        assertThat(output).startsWith("HTTP/1.1 " + status + " ");
        String first = output.substring(0, output.indexOf("HTTP/1.1 200 "));
        assertThat(first).endsWith("\r\n\r\n").doesNotContain("body");
        if (status != 304) {
            assertThat(first.toLowerCase(Locale.ROOT)).doesNotContainPattern("content-length: [1-9]");
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 299, 404, 503, 599})
    void validStatusIsWritten(int status) throws Exception {
        assertThat(send(Integer.toString(status)))
                .startsWith("HTTP/1.1 " + status + " ")
                .endsWith("body");
    }
}
