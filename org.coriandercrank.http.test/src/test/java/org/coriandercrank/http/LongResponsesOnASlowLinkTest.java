package org.coriandercrank.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.time.SystemTimerService;
import org.coriandercrank.kernel.time.TimerService;
import org.coriandercrank.scheduling.link.Uplink;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against long responses to callers that fill the link of a host, and against pieces of them that are mixed up. */
class LongResponsesOnASlowLinkTest {
    private static final double LINK_MBIT_PER_SECOND = 1;
    private static final List<Integer> BODY_BYTES = List.of(100, 200_000, 0, 50_000, 3_000);

    /** Time that the link takes for the two long bodies. */
    private static final long LONG_BODIES_MS = 2_000;

    private static final int CLIENT_TIMEOUT_MS = 10_000;
    private static final String OTHER_HOST = "127.0.0.2";
    private static final String SERVER_HOST = "127.0.0.1";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final TimerService timers = new SystemTimerService();
    private final Uplink uplink = new Uplink(LINK_MBIT_PER_SECOND, timers);
    private final HttpServer server = HttpServer.listen(
            group,
            new HostAddress(SERVER_HOST, 0),
            HttpServerOptions.DEFAULTS,
            uplink,
            (request, closed) -> CompletableFuture.completedFuture(new HttpResponse(
                    200, List.of(), body(Integer.parseInt(request.path().substring(1))))));

    @AfterEach
    void stop() {
        server.close();
        timers.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static byte[] body(int bytes) {
        byte[] body = new byte[bytes];
        for (int i = 0; i < bytes; i++) {
            body[i] = (byte) (i % 251);
        }
        return body;
    }

    private Socket connect(String clientIp) throws IOException {
        Socket socket = new Socket();
        socket.bind(new InetSocketAddress(clientIp, 0));
        socket.connect(new InetSocketAddress(
                InetAddress.getLoopbackAddress(), server.address().port()));
        socket.setSoTimeout(CLIENT_TIMEOUT_MS);
        return socket;
    }

    /** Sends all requests at once and checks their responses; returns how long they took. */
    private long timeOfPipelinedRequestsMs(String clientIp) throws IOException {
        long startedNanos = System.nanoTime();
        try (Socket socket = connect(clientIp);
                DataInputStream in = new DataInputStream(socket.getInputStream())) {
            for (int bytes : BODY_BYTES) {
                socket.getOutputStream().write(("GET /" + bytes + " HTTP/1.1\r\nhost: h\r\n\r\n").getBytes(US_ASCII));
            }
            for (int bytes : BODY_BYTES) {
                StringBuilder head = new StringBuilder();
                while (!head.toString().endsWith("\r\n\r\n")) {
                    head.append((char) in.readUnsignedByte());
                }
                assertThat(head.toString().toLowerCase(Locale.ROOT)).contains("content-length: " + bytes);
                byte[] body = new byte[bytes];
                in.readFully(body);
                assertThat(body).isEqualTo(body(bytes));
            }
        }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    }

    @Test
    void responsesToOtherHostsAreWholeAndBelowTheRateOfTheLink() throws Exception {
        assertThat(timeOfPipelinedRequestsMs(OTHER_HOST)).isGreaterThan(LONG_BODIES_MS);
    }

    @Test
    void responsesToTheSameHostDoNotUseTheLink() throws Exception {
        timeOfPipelinedRequestsMs(SERVER_HOST);
        assertThat(timeOfPipelinedRequestsMs(SERVER_HOST)).isLessThan(LONG_BODIES_MS);
    }

    @Test
    void closedConnectionGivesUpItsPlaceOnTheLink() throws Exception {
        try (Socket socket = connect(OTHER_HOST)) {
            socket.getOutputStream().write("GET /5000000 HTTP/1.1\r\nhost: h\r\n\r\n".getBytes(US_ASCII));
            assertThat(socket.getInputStream().read()).isPositive();
            assertThat(uplink.backlogBytes()).isPositive();
        }
        long startedNanos = System.nanoTime();
        while (uplink.backlogBytes() > 0
                && System.nanoTime() - startedNanos < TimeUnit.MILLISECONDS.toNanos(CLIENT_TIMEOUT_MS)) {
            Thread.sleep(10);
        }
        assertThat(uplink.backlogBytes()).isZero();
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos))
                .isLessThan(2_000);
    }
}
