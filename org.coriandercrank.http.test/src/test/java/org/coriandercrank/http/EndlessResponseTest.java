package org.coriandercrank.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.HostAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests a faulty server that sends bytes until the client closes the connection. */
class EndlessResponseTest {
    private static final long RESPONSE_TIMEOUT_MS = 20_000;
    private static final long MAX_DETECTION_S = 5;
    private static final int MAX_BODY_BYTES = 1_048_576;

    /** What the sockets of both sides can hold beyond the bytes that the client has read. */
    private static final long SOCKET_BUFFER_BYTES = 12 * 1_048_576;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Accepts one connection, reads some of the request and writes until the client closes; returns the bytes written. */
    private static CompletableFuture<Long> writeUntilClosed(ServerSocket listener, String start, String repeated) {
        CompletableFuture<Long> written = new CompletableFuture<>();
        Thread writer = new Thread(() -> {
            long bytes = 0;
            try (Socket socket = listener.accept()) {
                socket.getInputStream().read(new byte[1_024]);
                OutputStream out = socket.getOutputStream();
                out.write(start.getBytes(StandardCharsets.US_ASCII));
                byte[] block = repeated.repeat(8_192 / repeated.length()).getBytes(StandardCharsets.US_ASCII);
                while (true) {
                    out.write(block);
                    bytes += block.length;
                }
            } catch (IOException e) {
                written.complete(bytes);
            }
        });
        writer.setDaemon(true);
        writer.start();
        return written;
    }

    private static String unescape(String text) {
        return text.replace("CRLF", "\r\n");
    }

    /** Each of several responses without end stayed below the limit on one body, and together they filled the memory. */
    @Test
    void unfinishedResponsesAreBoundedTogether() throws Exception {
        int connections = 12;
        int bodyBytes = 3 * 1_048_576;
        int limitBytes = 8 * 1_048_576;
        HttpClientOptions options =
                new HttpClientOptions(connections + 1, 1, 1_000, limitBytes, 6_000, ResponseMatcher.ACCEPT_ALL);
        CountDownLatch end = new CountDownLatch(1);
        try (ServerSocket listener = new ServerSocket(0, connections, InetAddress.getLoopbackAddress());
                HttpClient client =
                        new HttpClient(group, new HostAddress("127.0.0.1", listener.getLocalPort()), options)) {
            String start = "HTTP/1.1 200 OK\r\n\r\n" + "a".repeat(bodyBytes);
            List<CompletableFuture<HttpResponse>> responses = new ArrayList<>();
            for (int i = 0; i < connections; i++) {
                startWriter(listener, start, end);
                responses.add(client.send(new HttpRequest("GET", "/", List.of(), new byte[0]), RESPONSE_TIMEOUT_MS));
            }
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_DETECTION_S);
            while (unfinished(responses) * bodyBytes > limitBytes && System.nanoTime() < deadlineNanos) {
                Thread.sleep(10);
            }
            assertThat(unfinished(responses) * bodyBytes).isLessThanOrEqualTo(limitBytes);
            startWriter(listener, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nend", end);
            assertThat(client.send(new HttpRequest("GET", "/", List.of(), new byte[0]), RESPONSE_TIMEOUT_MS)
                            .get(MAX_DETECTION_S, TimeUnit.SECONDS)
                            .bodyText())
                    .isEqualTo("end");
        } finally {
            end.countDown();
        }
    }

    private static long unfinished(List<CompletableFuture<HttpResponse>> responses) {
        return responses.stream().filter(response -> !response.isDone()).count();
    }

    /** Accepts one connection, sends the start of a response and keeps the connection open until the latch is released. */
    private static void startWriter(ServerSocket listener, String start, CountDownLatch end) {
        Thread writer = new Thread(() -> {
            try (Socket socket = listener.accept()) {
                socket.getInputStream().read(new byte[1_024]);
                socket.getOutputStream().write(start.getBytes(StandardCharsets.US_ASCII));
                end.await(RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            } catch (IOException e) {
                // The client closed the connection.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        writer.setDaemon(true);
        writer.start();
    }

    /** An interim response was taken for the response to the request. */
    @Test
    void interimResponseIsNotTheResponse() throws Exception {
        HttpClientOptions options = HttpClientOptions.DEFAULTS;
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                HttpClient client =
                        new HttpClient(group, new HostAddress("127.0.0.1", listener.getLocalPort()), options)) {
            writeUntilClosed(
                    listener,
                    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nend",
                    "x");
            HttpResponse response = client.send(
                            new HttpRequest("GET", "/", List.of(), new byte[0]), RESPONSE_TIMEOUT_MS)
                    .get(MAX_DETECTION_S, TimeUnit.SECONDS);
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.bodyText()).isEqualTo("end");
        }
    }

    /** Such bytes must neither fill the memory nor hold the request until its deadline. */
    @ParameterizedTest
    @CsvSource({
        "first line,        '',                                                             a",
        "empty lines,       '',                                                             CRLF",
        "header,            HTTP/1.1 200 OKCRLFX: ,                                         a",
        "header fields,     HTTP/1.1 200 OKCRLF,                                            X: aCRLF",
        "interim responses, '',                                                             HTTP/1.1 100 ContinueCRLFCRLF",
        "body to the end,   HTTP/1.1 200 OKCRLFCRLF,                                        a",
        "chunks,            HTTP/1.1 200 OKCRLFTransfer-Encoding: chunkedCRLFCRLF,          1CRLFaCRLF",
        "chunk size,        HTTP/1.1 200 OKCRLFTransfer-Encoding: chunkedCRLFCRLF,          1",
        "chunk extension,   HTTP/1.1 200 OKCRLFTransfer-Encoding: chunkedCRLFCRLF1;,        a",
        "trailer,           HTTP/1.1 200 OKCRLFTransfer-Encoding: chunkedCRLFCRLF0CRLF,     X: aCRLF",
        "long body,         HTTP/1.1 200 OKCRLFContent-Length: 99999999999CRLFCRLF,         a",
    })
    void connectionOfAnEndlessResponseIsClosed(String place, String start, String repeated) throws Exception {
        HttpClientOptions options =
                new HttpClientOptions(1, 1, 1_000, MAX_BODY_BYTES, 6_000, ResponseMatcher.ACCEPT_ALL);
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                HttpClient client =
                        new HttpClient(group, new HostAddress("127.0.0.1", listener.getLocalPort()), options)) {
            CompletableFuture<Long> written = writeUntilClosed(listener, unescape(start), unescape(repeated));
            CompletableFuture<HttpResponse> response =
                    client.send(new HttpRequest("GET", "/", List.of(), new byte[0]), RESPONSE_TIMEOUT_MS);
            Throwable failure = catchThrowable(() -> response.get(MAX_DETECTION_S, TimeUnit.SECONDS));
            assertThat(failure).as(place).hasCauseInstanceOf(HttpClientException.class);
            assertThat(HttpClientException.isNotSent(failure.getCause())).isFalse();
            assertThat(written.get(MAX_DETECTION_S, TimeUnit.SECONDS)).isLessThan(MAX_BODY_BYTES + SOCKET_BUFFER_BYTES);
        }
    }
}
