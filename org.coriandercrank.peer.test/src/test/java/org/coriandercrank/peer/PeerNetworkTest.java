package org.coriandercrank.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.message.LoadQuery;
import org.coriandercrank.kernel.message.LoadReport;
import org.coriandercrank.kernel.message.RefusalAnswer;
import org.coriandercrank.kernel.message.RefusalRequest;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.testkit.FaultProxy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Calls between two daemons through a fault-injecting proxy. */
class PeerNetworkTest {
    private static final HostAddress ANY_PORT = new HostAddress("127.0.0.1", 0);
    private static final MemberId CALLING = new MemberId("calling");
    private static final MemberId CALLED = new MemberId("called");
    private static final long SILENCE_BOUND_MS = 1_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final PeerHandlers calledHandlers = new PeerHandlers();
    private final AtomicInteger handled = new AtomicInteger();
    private PeerNetwork calling;
    private PeerNetwork called;
    private FaultProxy proxy;
    private PeerTarget target;

    @BeforeEach
    void start() {
        calling = network(CALLING, new PeerHandlers());
        called = network(CALLED, calledHandlers);
        proxy = new FaultProxy(called.address());
        target = new PeerTarget(CALLED, proxy.address());
        calledHandlers.register(RefusalRequest.class, (sender, message) -> {
            handled.incrementAndGet();
            return CompletableFuture.completedFuture(
                    new RefusalAnswer(sender, true, message.recordRevision().value()));
        });
    }

    @AfterEach
    void stop() {
        proxy.close();
        calling.close();
        called.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private PeerNetwork network(MemberId self, PeerHandlers handlers) {
        return new PeerNetwork(group, ANY_PORT, () -> self, handlers, PeerOptions.DEFAULTS, new SimpleMeterRegistry());
    }

    private CompletableFuture<RefusalAnswer> call(long number) {
        return calling.call(target, new RefusalRequest(CALLING, new Revision(number)), RefusalAnswer.class, 5_000);
    }

    private static ResultCode codeOf(CompletableFuture<?> call) throws Exception {
        try {
            call.get(6, TimeUnit.SECONDS);
            return ResultCode.OK;
        } catch (ExecutionException e) {
            return CrankException.of(e).code();
        }
    }

    /** Peers refuse requests whose sender is a former id, so a daemon that joined again got no range from them. */
    @Test
    void callsNameThePresentMember() throws Exception {
        AtomicReference<MemberId> self = new AtomicReference<>(CALLING);
        try (PeerNetwork changing = new PeerNetwork(
                group, ANY_PORT, self::get, new PeerHandlers(), PeerOptions.DEFAULTS, new SimpleMeterRegistry())) {
            for (MemberId id : List.of(CALLING, new MemberId("calling-again"))) {
                self.set(id);
                RefusalAnswer answer = changing.call(
                                target, new RefusalRequest(id, new Revision(1)), RefusalAnswer.class, 5_000)
                        .get(6, TimeUnit.SECONDS);
                assertThat(answer.witness()).isEqualTo(id);
            }
        }
    }

    /** An answer that is on its way when the daemon gets another id must still arrive. */
    @Test
    void answersToTheFormerMemberArrive() throws Exception {
        AtomicReference<MemberId> self = new AtomicReference<>(CALLING);
        CompletableFuture<RefusalAnswer> held = new CompletableFuture<>();
        CountDownLatch received = new CountDownLatch(1);
        calledHandlers.register(LoadQuery.class, (sender, message) -> {
            received.countDown();
            return held;
        });
        try (PeerNetwork changing = new PeerNetwork(
                group, ANY_PORT, self::get, new PeerHandlers(), PeerOptions.DEFAULTS, new SimpleMeterRegistry())) {
            CompletableFuture<RefusalAnswer> early =
                    changing.call(target, new LoadQuery(CALLING), RefusalAnswer.class, 5_000);
            assertThat(received.await(6, TimeUnit.SECONDS)).isTrue();
            self.set(new MemberId("calling-again"));
            changing.call(target, new RefusalRequest(self.get(), new Revision(1)), RefusalAnswer.class, 5_000)
                    .get(6, TimeUnit.SECONDS);
            held.complete(new RefusalAnswer(CALLED, true, 7));
            assertThat(early.get(6, TimeUnit.SECONDS).witness()).isEqualTo(CALLED);
        }
    }

    @Test
    void answersReachTheirOwnCalls() throws Exception {
        for (int i = 0; i < 200; i++) {
            assertThat(call(i).get(5, TimeUnit.SECONDS).retryAfterMs()).isEqualTo(i);
        }
    }

    /** See KNOWN-RED.txt: a link takes a pause of its own thread for silence of the peer. */
    @Tag("known-red")
    @Test
    void outOfOrderAnswersReachTheirOwnCalls() throws Exception {
        CompletableFuture<LoadReport> late = new CompletableFuture<>();
        calledHandlers.register(LoadQuery.class, (sender, message) -> late);
        CompletableFuture<LoadReport> first = calling.call(target, new LoadQuery(CALLING), LoadReport.class, 5_000);

        assertThat(call(7).get(5, TimeUnit.SECONDS).retryAfterMs()).isEqualTo(7);
        assertThat(first).isNotDone();
        late.complete(new LoadReport(
                CALLED, new ServiceName("s"), org.coriandercrank.kernel.id.Generation.NONE, java.util.List.of()));
        assertThat(first.get(5, TimeUnit.SECONDS).member()).isEqualTo(CALLED);
    }

    @Test
    void silentConnectionIsFoundWithinOneSecondAndNewOneWorks() throws Exception {
        call(1).get(5, TimeUnit.SECONDS);
        proxy.silenceOpenConnections();

        long startedNanos = System.nanoTime();
        ResultCode code = codeOf(call(2));
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);

        assertThat(code).isEqualTo(ResultCode.LINK_LOST);
        assertThat(tookMs).isLessThanOrEqualTo(SILENCE_BOUND_MS);
        assertThat(codeOf(call(3))).isEqualTo(ResultCode.OK);
    }

    @Test
    void slowHandlerDoesNotCloseTheLink() throws Exception {
        CompletableFuture<LoadReport> never = new CompletableFuture<>();
        calledHandlers.register(LoadQuery.class, (sender, message) -> never);
        CompletableFuture<LoadReport> slow = calling.call(target, new LoadQuery(CALLING), LoadReport.class, 2_000);

        assertThat(codeOf(slow)).isEqualTo(ResultCode.CALL_TIMEOUT);
    }

    @Test
    void refusedConnectionMeansNotHandled() throws Exception {
        proxy.cut();

        assertThat(codeOf(call(1))).isEqualTo(ResultCode.PEER_UNREACHABLE);
        assertThat(handled).hasValue(0);
    }

    @Test
    void blockedConnectionBeforeHelloMeansNotHandled() throws Exception {
        proxy.blockBoth();
        ResultCode code = codeOf(call(1));
        proxy.heal();
        Thread.sleep(200);

        assertThat(code).isEqualTo(ResultCode.PEER_UNREACHABLE);
        assertThat(handled).hasValue(0);
    }

    @Test
    void cutDuringACallMeansUnknown() throws Exception {
        CompletableFuture<LoadReport> never = new CompletableFuture<>();
        CompletableFuture<Void> arrived = new CompletableFuture<>();
        calledHandlers.register(LoadQuery.class, (sender, message) -> {
            arrived.complete(null);
            return never;
        });
        CompletableFuture<LoadReport> call = calling.call(target, new LoadQuery(CALLING), LoadReport.class, 5_000);
        arrived.get(5, TimeUnit.SECONDS);
        proxy.cut();

        assertThat(codeOf(call)).isEqualTo(ResultCode.LINK_LOST);
    }

    @Test
    void anotherMemberAtTheAddressIsNotCalled() throws Exception {
        PeerTarget predecessor = new PeerTarget(new MemberId("predecessor"), called.address());
        CompletableFuture<RefusalAnswer> call =
                calling.call(predecessor, new RefusalRequest(CALLING, new Revision(1)), RefusalAnswer.class, 5_000);

        assertThat(codeOf(call)).isEqualTo(ResultCode.WRONG_MEMBER);
        assertThat(handled).hasValue(0);
    }

    @Test
    void missingHandlerIsReported() throws Exception {
        CompletableFuture<LoadReport> call = calling.call(target, new LoadQuery(CALLING), LoadReport.class, 5_000);

        assertThat(codeOf(call)).isEqualTo(ResultCode.UNSUPPORTED_MESSAGE);
    }

    @Test
    void oneWayBlockIsFoundWithinOneSecond() throws Exception {
        call(1).get(5, TimeUnit.SECONDS);
        proxy.block(FaultProxy.Direction.FROM_TARGET);

        long startedNanos = System.nanoTime();
        assertThat(codeOf(call(2))).isEqualTo(ResultCode.LINK_LOST);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos))
                .isLessThanOrEqualTo(SILENCE_BOUND_MS);
    }
}
