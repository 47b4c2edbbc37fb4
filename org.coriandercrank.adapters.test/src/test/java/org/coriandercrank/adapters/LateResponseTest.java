package org.coriandercrank.adapters;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.backend.BackendCall;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.time.SystemTimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a server that sends a second copy of a response late, on a connection that is in use again: the next
 * caller got a response that was not its own, or was told that its request had not run.
 */
class LateResponseTest {
    private static final int REQUEST_TIMEOUT_MS = 2_000;
    private static final String EXECUTED = "HTTP/1.1 200 OK\r\n";
    private static final String REFUSED = "HTTP/1.1 503 Busy\r\nCrank-Not-Run: true\r\nCrank-Reason: overload\r\n";
    private static final String NOT_HELD = "HTTP/1.1 409 Range\r\nCrank-Not-Run: true\r\nCrank-Reason: range\r\n";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Set<String> executed = ConcurrentHashMap.newKeySet();
    private final SystemTimerService timers = new SystemTimerService();

    @AfterEach
    void stop() {
        timers.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Answers the first request of a connection with the given head, and each later one with a copy of that first. */
    private void serve(Socket socket, String firstHead, boolean repeatsIds) {
        try (socket;
                BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), US_ASCII))) {
            String copy = "";
            for (String id = readRequest(in); id != null; id = readRequest(in)) {
                String head = copy.isEmpty() ? firstHead : EXECUTED;
                if (head.equals(EXECUTED)) {
                    executed.add(id);
                }
                String response = head
                        + (repeatsIds ? "Crank-Request-Id: " + id + "\r\n" : "")
                        + "Content-Length: " + id.length() + "\r\n\r\n" + id;
                socket.getOutputStream().write((copy + response).getBytes(US_ASCII));
                copy = response;
            }
        } catch (IOException e) {
            // The client closed the connection.
        }
    }

    /** Returns the id of a request without a body; null at the end of the connection. */
    private static String readRequest(BufferedReader in) throws IOException {
        String id = null;
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            if (line.toLowerCase(Locale.ROOT).startsWith("crank-request-id:")) {
                id = line.substring(line.indexOf(':') + 1).trim();
            }
        }
        return id;
    }

    private HttpBackendServer startServer(ServerSocket listener, String firstHead, boolean repeatsIds) {
        Thread acceptor = new Thread(() -> {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    new Thread(() -> serve(socket, firstHead, repeatsIds)).start();
                }
            } catch (IOException e) {
                // The test has closed the listener.
            }
        });
        acceptor.start();
        HostAddress address = new HostAddress("127.0.0.1", listener.getLocalPort());
        return new HttpBackendServer(
                group, timers, new BackendInfo("desk-1", new ServiceName("desk"), address, 1, 2, Set.of()));
    }

    private static BackendCall call(String id) {
        return new BackendCall(
                new CallerRequest(
                        new RequestId(id),
                        new ServiceName("desk"),
                        Optional.empty(),
                        "GET",
                        "/a",
                        List.of(),
                        new byte[0],
                        REQUEST_TIMEOUT_MS,
                        Optional.empty(),
                        OptionalLong.empty(),
                        Optional.empty()),
                new Generation(1));
    }

    /** Returns what a request ends with: the body of the response, or a result code. */
    private static String execute(HttpBackendServer server, String id) {
        return server.execute(call(id))
                .handle((answer, failure) -> failure == null
                        ? new String(answer.body(), US_ASCII)
                        : CrankException.of(failure).code().name())
                .join();
    }

    @ParameterizedTest
    @ValueSource(strings = {EXECUTED, REFUSED})
    void secondCopyOfAResponseIsNotTakenForTheNext(String firstHead) throws IOException {
        try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
                HttpBackendServer server = startServer(listener, firstHead, true)) {
            execute(server, "first");
            assertThat(execute(server, "second")).isIn("second", ResultCode.OUTCOME_UNKNOWN.name());
        }
    }

    /** The gate or the caller sends such a request again under its id, which the second copy has as well. */
    @ParameterizedTest
    @ValueSource(strings = {NOT_HELD, REFUSED})
    void secondCopyOfARefusalIsNotTakenForTheResponseToTheSameRequest(String refusal) throws IOException {
        try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
                HttpBackendServer server = startServer(listener, refusal, true)) {
            assertThat(execute(server, "first")).isIn(ResultCode.FENCE_REJECTED.name(), ResultCode.OVERLOADED.name());
            String second = execute(server, "first");
            assertThat(second.equals("first")).isEqualTo(executed.contains("first"));
        }
    }

    /** Such a copy would match each later request. */
    @Test
    void secondCopyOfARefusalWithoutIdIsNotTakenForTheNext() throws IOException {
        try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
                HttpBackendServer server = startServer(listener, REFUSED, false)) {
            execute(server, "first");
            String second = execute(server, "second");
            assertThat(second.equals("second")).isEqualTo(executed.contains("second"));
        }
    }

    /** A server that does not repeat ids stays usable; docs/PROTOCOL_BACKEND.md names what is weaker. */
    @Test
    void responseWithoutIdIsAccepted() throws IOException {
        try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
                HttpBackendServer server = startServer(listener, EXECUTED, false)) {
            assertThat(execute(server, "first")).isEqualTo("first");
        }
    }

    @Test
    void idThatTheServerRepeatsIsNotPassedToTheCaller() throws IOException {
        try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
                HttpBackendServer server = startServer(listener, EXECUTED, true)) {
            assertThat(server.execute(call("first")).join().headers())
                    .noneMatch(header -> header.name().equals("crank-request-id"));
        }
    }
}
