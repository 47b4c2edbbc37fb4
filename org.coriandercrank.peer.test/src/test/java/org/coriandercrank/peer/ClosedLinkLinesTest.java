package org.coriandercrank.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.message.RefusalAnswer;
import org.coriandercrank.kernel.message.RefusalRequest;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a log that a daemon which stops, or whose peer is down, fills with one reason. */
class ClosedLinkLinesTest {
    private static final HostAddress ANY_PORT = new HostAddress("127.0.0.1", 0);
    private static final MemberId CALLER_ID = new MemberId("calling");
    private static final int CALLEES = 5;
    private static final int CALLS_TO_DOWN_PEER = 20;
    private static final long LINE_WAIT_MS = 2_000;
    private static final long POLL_MS = 10;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final List<PeerNetwork> networks = new ArrayList<>();

    /** Held, because the logging framework keeps loggers by weak references. */
    private final Logger logger = Logger.getLogger("org.coriandercrank.peer.internal.ClosedLinkLog");

    private final List<String> written = new CopyOnWriteArrayList<>();
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord line) {
            written.add(line.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    @BeforeEach
    void startCapture() {
        logger.setUseParentHandlers(false);
        logger.setLevel(Level.INFO);
        logger.addHandler(handler);
    }

    @AfterEach
    void stop() {
        networks.forEach(PeerNetwork::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        logger.removeHandler(handler);
        logger.setUseParentHandlers(true);
    }

    @Test
    void daemonThatStopsWritesOneLineForAllItsLinks() throws Exception {
        PeerNetwork caller = newNetwork(CALLER_ID);
        for (int i = 0; i < CALLEES; i++) {
            MemberId callee = new MemberId("called" + i);
            call(caller, new PeerTarget(callee, newNetwork(callee).address())).get(LINE_WAIT_MS, TimeUnit.MILLISECONDS);
        }
        networks.remove(caller);
        caller.close();
        awaitLine(" links=" + CALLEES + " ");
        assertThat(written)
                .singleElement()
                .asString()
                .startsWith("event=link-closed peer=all code=LINK_LOST links=5 outstanding=0 ");
    }

    @Test
    void repeatsOfAReasonHaveOneLineWithTheirNumber() throws Exception {
        PeerNetwork callee = newNetwork(new MemberId("called"));
        PeerTarget down = new PeerTarget(new MemberId("called"), callee.address());
        networks.remove(callee);
        callee.close();
        PeerNetwork caller = newNetwork(CALLER_ID);
        for (int i = 0; i < CALLS_TO_DOWN_PEER; i++) {
            call(caller, down).handle((answer, failure) -> failure).get(LINE_WAIT_MS, TimeUnit.MILLISECONDS);
        }
        networks.remove(caller);
        caller.close();
        assertThat(written).hasSize(2);
        assertThat(written.get(0)).contains(" code=PEER_UNREACHABLE links=1 ");
        assertThat(written.get(1)).contains(" code=PEER_UNREACHABLE links=" + (CALLS_TO_DOWN_PEER - 1) + " ");
    }

    private void awaitLine(String part) throws InterruptedException {
        for (long ms = 0; ms < LINE_WAIT_MS; ms += POLL_MS) {
            if (written.stream().anyMatch(line -> line.contains(part))) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    private PeerNetwork newNetwork(MemberId self) {
        PeerHandlers handlers = new PeerHandlers();
        handlers.register(
                RefusalRequest.class,
                (sender, message) -> CompletableFuture.completedFuture(
                        new RefusalAnswer(sender, true, message.recordRevision().value())));
        PeerNetwork network =
                new PeerNetwork(group, ANY_PORT, () -> self, handlers, PeerOptions.DEFAULTS, new SimpleMeterRegistry());
        networks.add(network);
        return network;
    }

    private static CompletableFuture<RefusalAnswer> call(PeerNetwork caller, PeerTarget target) {
        return caller.call(target, new RefusalRequest(CALLER_ID, new Revision(1), 0), RefusalAnswer.class, 1_000);
    }
}
