package org.coriandercrank.peer;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.message.ForwardAnswer;
import org.coriandercrank.kernel.message.ForwardRequest;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.request.Header;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an answer that breaks off between two daemons and is taken for a complete one, and against a daemon that
 * sends bytes without end and fills the memory of another.
 */
class CutAnswerTest {
    private static final HostAddress ANY_PORT = new HostAddress("127.0.0.1", 0);
    private static final MemberId CALLEE_ID = new MemberId("called");
    private static final long TIMEOUT_MS = 5_000;
    private static final int BODY_BYTES = 40;

    /** Longer than a frame between daemons may be. */
    private static final int TOO_LONG_BODY_BYTES = 10 * 1_024 * 1_024;

    /** The longest frame, and what the sockets of both sides can hold beside it. */
    private static final long MAX_ENDLESS_BYTES = (9 + 12) * 1_048_576;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final PeerHandlers handlers = new PeerHandlers();
    private final AtomicLong endlessBytes = new AtomicLong();
    private volatile CompletableFuture<ForwardAnswer> answer;
    private PeerNetwork caller;
    private PeerNetwork callee;

    @BeforeEach
    void start() {
        answer = CompletableFuture.completedFuture(answer(BODY_BYTES));
        handlers.register(ForwardRequest.class, (sender, message) -> answer);
        caller = newNetwork(new MemberId("calling"), new PeerHandlers());
        callee = newNetwork(CALLEE_ID, handlers);
    }

    @AfterEach
    void stop() {
        caller.close();
        callee.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private PeerNetwork newNetwork(MemberId self, PeerHandlers peerHandlers) {
        return new PeerNetwork(
                group, ANY_PORT, () -> self, peerHandlers, PeerOptions.DEFAULTS, new SimpleMeterRegistry());
    }

    private static ForwardAnswer answer(int bodyBytes) {
        return new ForwardAnswer(
                CallerAnswer.executed(200, List.of(new Header("content-type", "text/plain")), new byte[bodyBytes]),
                new Generation(3));
    }

    private CompletableFuture<ForwardAnswer> forward(HostAddress address) {
        CallerRequest request = new CallerRequest(
                new RequestId("r1"),
                new ServiceName("desk"),
                Optional.empty(),
                "GET",
                "/tickets",
                List.of(),
                new byte[0],
                TIMEOUT_MS,
                Optional.empty(),
                OptionalLong.empty(),
                Optional.empty());
        return caller.call(
                new PeerTarget(CALLEE_ID, address),
                new ForwardRequest(request, Generation.NONE),
                ForwardAnswer.class,
                TIMEOUT_MS);
    }

    private static ResultCode code(CompletableFuture<ForwardAnswer> call) throws Exception {
        try {
            ForwardAnswer forwarded = call.get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
            assertThat(forwarded.answer().body()).hasSize(BODY_BYTES);
            return ResultCode.OK;
        } catch (ExecutionException e) {
            return CrankException.of(e).code();
        }
    }

    /** Forwards one connection to the callee, and the given number of bytes of what it sends; then ends it. */
    private void forwardUntil(ServerSocket listener, int length, boolean reset) {
        startThread(() -> {
            try (Socket client = listener.accept();
                    Socket server =
                            new Socket(callee.address().ip(), callee.address().port())) {
                client.setTcpNoDelay(true);
                startThread(() -> client.getInputStream().transferTo(server.getOutputStream()));
                InputStream in = server.getInputStream();
                for (int i = 0; i < length; i++) {
                    int next = in.read();
                    if (next < 0) {
                        return;
                    }
                    client.getOutputStream().write(next);
                }
                if (reset) {
                    client.setSoLinger(true, 0);
                }
            }
        });
    }

    @FunctionalInterface
    private interface NetworkTask {
        void run() throws IOException;
    }

    /** Runs a task that ends when one of its connections is closed. */
    private static void startThread(NetworkTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // One of the sides closed the connection.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void answerIsCompleteOnlyIfItsLastByteArrived(boolean reset) throws Exception {
        ResultCode code = ResultCode.LINK_LOST;
        int length = 0;
        while (code != ResultCode.OK) {
            try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                forwardUntil(listener, length, reset);
                code = code(forward(new HostAddress("127.0.0.1", listener.getLocalPort())));
            }
            assertThat(code).isIn(ResultCode.OK, ResultCode.LINK_LOST, ResultCode.PEER_UNREACHABLE);
            if (code == ResultCode.PEER_UNREACHABLE) {
                // The handshake breaks off, so that the request is not written.
                assertThat(length).isLessThan(BODY_BYTES);
            }
            length++;
        }
        System.out.println("bytes of handshake and answer: " + (length - 1) + ", reset " + reset);
        assertThat(length - 1).isGreaterThan(BODY_BYTES);
    }

    /** A daemon must not keep more of an answer than a frame may hold. */
    @Test
    void answerLongerThanAFrameEndsTheLink() throws Exception {
        answer = CompletableFuture.completedFuture(answer(TOO_LONG_BODY_BYTES));
        assertThat(code(forward(callee.address()))).isEqualTo(ResultCode.LINK_LOST);
        answer = CompletableFuture.completedFuture(answer(BODY_BYTES));
        assertThat(code(forward(callee.address()))).isEqualTo(ResultCode.OK);
    }

    /** The length of a frame of 9 MB and of an empty one is written in hexadecimal, as the other bytes are not. */
    @ParameterizedTest
    @CsvSource({"no frame, '', a", "longest frame, 00900000, a", "empty frames, 00000000, \0"})
    void linkToAnEndlessSenderIsClosed(String bytes, String lengthField, String repeated) throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            byte[] start = HexFormat.of().parseHex(lengthField);
            startThread(() -> sendEndless(listener, start, repeated));
            CompletableFuture<ForwardAnswer> call = forward(new HostAddress("127.0.0.1", listener.getLocalPort()));
            assertThat(code(call)).as(bytes).isEqualTo(ResultCode.PEER_UNREACHABLE);
        }
        assertThat(endlessBytes).hasValueLessThan(MAX_ENDLESS_BYTES);
    }

    private void sendEndless(ServerSocket listener, byte[] start, String repeated) throws IOException {
        byte[] block = repeated.repeat(8_192).getBytes(US_ASCII);
        try (Socket socket = listener.accept()) {
            socket.getOutputStream().write(start);
            while (true) {
                socket.getOutputStream().write(block);
                endlessBytes.addAndGet(block.length);
            }
        }
    }
}
