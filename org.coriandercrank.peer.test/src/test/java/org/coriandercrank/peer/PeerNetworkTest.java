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
import org.junit.jupiter.api.Test;

/** Calls between two daemons through a proxy that injects network faults. */
class PeerNetworkTest {
    private static final HostAddress ANY_PORT = new HostAddress("127.0.0.1", 0);
    private static final MemberId CALLER_ID = new MemberId("calling");
    private static final MemberId CALLEE_ID = new MemberId("called");
    private static final long MAX_DETECTION_MS = 1_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final PeerHandlers calleeHandlers = new PeerHandlers();
    private final AtomicInteger handledRequests = new AtomicInteger();
    private PeerNetwork caller;
    private PeerNetwork callee;
    private FaultProxy proxy;
    private PeerTarget target;

    @BeforeEach
    void start() {
        caller = newNetwork(CALLER_ID, new PeerHandlers());
        callee = newNetwork(CALLEE_ID, calleeHandlers);
        proxy = new FaultProxy(callee.address());
        target = new PeerTarget(CALLEE_ID, proxy.address());
        calleeHandlers.register(RefusalRequest.class, (sender, message) -> {
            handledRequests.incrementAndGet();
            return CompletableFuture.completedFuture(
                    new RefusalAnswer(sender, true, message.recordRevision().value()));
        });
    }

    @AfterEach
    void stop() {
        proxy.close();
        caller.close();
        callee.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private PeerNetwork newNetwork(MemberId self, PeerHandlers handlers) {
        return new PeerNetwork(group, ANY_PORT, () -> self, handlers, PeerOptions.DEFAULTS, new SimpleMeterRegistry());
    }

    private CompletableFuture<RefusalAnswer> call(long number) {
        return caller.call(target, new RefusalRequest(CALLER_ID, new Revision(number), 0), RefusalAnswer.class, 5_000);
    }

    private static ResultCode resultCode(CompletableFuture<?> call) throws Exception {
        try {
            call.get(6, TimeUnit.SECONDS);
            return ResultCode.OK;
        } catch (ExecutionException e) {
            return CrankException.of(e).code();
        }
    }

    /**
     * Other daemons reject requests from an outdated member id. A daemon that joined with a new id but kept sending the
     * old one therefore got no range from them.
     */
    @Test
    void callsNameThePresentMember() throws Exception {
        AtomicReference<MemberId> self = new AtomicReference<>(CALLER_ID);
        try (PeerNetwork rejoining = new PeerNetwork(
                group, ANY_PORT, self::get, new PeerHandlers(), PeerOptions.DEFAULTS, new SimpleMeterRegistry())) {
            for (MemberId id : List.of(CALLER_ID, new MemberId("calling-again"))) {
                self.set(id);
                RefusalAnswer answer = rejoining
                        .call(target, new RefusalRequest(id, new Revision(1), 0), RefusalAnswer.class, 5_000)
                        .get(6, TimeUnit.SECONDS);
                assertThat(answer.witness()).isEqualTo(id);
            }
        }
    }

    /** An answer that is pending while the daemon changes its member id must still arrive. */
    @Test
    void answersToThePreviousMemberIdArrive() throws Exception {
        AtomicReference<MemberId> self = new AtomicReference<>(CALLER_ID);
        CompletableFuture<RefusalAnswer> pendingAnswer = new CompletableFuture<>();
        CountDownLatch received = new CountDownLatch(1);
        calleeHandlers.register(LoadQuery.class, (sender, message) -> {
            received.countDown();
            return pendingAnswer;
        });
        try (PeerNetwork rejoining = new PeerNetwork(
                group, ANY_PORT, self::get, new PeerHandlers(), PeerOptions.DEFAULTS, new SimpleMeterRegistry())) {
            CompletableFuture<RefusalAnswer> firstCall =
                    rejoining.call(target, new LoadQuery(CALLER_ID), RefusalAnswer.class, 5_000);
            assertThat(received.await(6, TimeUnit.SECONDS)).isTrue();
            self.set(new MemberId("calling-again"));
            rejoining
                    .call(target, new RefusalRequest(self.get(), new Revision(1), 0), RefusalAnswer.class, 5_000)
                    .get(6, TimeUnit.SECONDS);
            pendingAnswer.complete(new RefusalAnswer(CALLEE_ID, true, 7));
            assertThat(firstCall.get(6, TimeUnit.SECONDS).witness()).isEqualTo(CALLEE_ID);
        }
    }

    @Test
    void answersReachTheirOwnCalls() throws Exception {
        for (int i = 0; i < 200; i++) {
            assertThat(call(i).get(5, TimeUnit.SECONDS).retryAfterMs()).isEqualTo(i);
        }
    }

    @Test
    void outOfOrderAnswersReachTheirOwnCalls() throws Exception {
        CompletableFuture<LoadReport> late = new CompletableFuture<>();
        calleeHandlers.register(LoadQuery.class, (sender, message) -> late);
        CompletableFuture<LoadReport> first = caller.call(target, new LoadQuery(CALLER_ID), LoadReport.class, 5_000);

        assertThat(call(7).get(5, TimeUnit.SECONDS).retryAfterMs()).isEqualTo(7);
        assertThat(first).isNotDone();
        late.complete(new LoadReport(
                CALLEE_ID, new ServiceName("s"), org.coriandercrank.kernel.id.Generation.NONE, java.util.List.of()));
        assertThat(first.get(5, TimeUnit.SECONDS).member()).isEqualTo(CALLEE_ID);
    }

    @Test
    void silentConnectionIsDetectedWithinOneSecondAndReplaced() throws Exception {
        call(1).get(5, TimeUnit.SECONDS);
        proxy.silenceOpenConnections();

        long startedNanos = System.nanoTime();
        ResultCode code = resultCode(call(2));
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);

        assertThat(code).isEqualTo(ResultCode.LINK_LOST);
        assertThat(tookMs).isLessThanOrEqualTo(MAX_DETECTION_MS);
        assertThat(resultCode(call(3))).isEqualTo(ResultCode.OK);
    }

    @Test
    void slowHandlerDoesNotCloseTheLink() throws Exception {
        CompletableFuture<LoadReport> never = new CompletableFuture<>();
        calleeHandlers.register(LoadQuery.class, (sender, message) -> never);
        CompletableFuture<LoadReport> slow = caller.call(target, new LoadQuery(CALLER_ID), LoadReport.class, 2_000);

        assertThat(resultCode(slow)).isEqualTo(ResultCode.CALL_TIMEOUT);
    }

    /** Guards against callers who each wait for the timeout of an attempt to connect to a daemon that lost power. */
    @Test
    void callsToADaemonThatAnswersNoAttemptFailAtOnceUntilItDoes() throws Exception {
        proxy.blockBothDirections();
        assertThat(resultCode(call(1))).isEqualTo(ResultCode.PEER_UNREACHABLE);

        long startedNanos = System.nanoTime();
        assertThat(resultCode(call(2))).isEqualTo(ResultCode.PEER_UNREACHABLE);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos))
                .isLessThan(PeerOptions.DEFAULTS.silenceTimeoutMs() / 2);

        proxy.clearFaults();
        ResultCode code = resultCode(call(3));
        for (int i = 0; i < 20 && code != ResultCode.OK; i++) {
            Thread.sleep(100);
            code = resultCode(call(4));
        }
        assertThat(code).isEqualTo(ResultCode.OK);
    }

    @Test
    void refusedConnectionMeansNotHandled() throws Exception {
        proxy.rejectConnections();

        assertThat(resultCode(call(1))).isEqualTo(ResultCode.PEER_UNREACHABLE);
        assertThat(handledRequests).hasValue(0);
    }

    @Test
    void blockedConnectionBeforeHelloMeansNotHandled() throws Exception {
        proxy.blockBothDirections();
        ResultCode code = resultCode(call(1));
        proxy.clearFaults();
        Thread.sleep(200);

        assertThat(code).isEqualTo(ResultCode.PEER_UNREACHABLE);
        assertThat(handledRequests).hasValue(0);
    }

    @Test
    void connectionLossDuringACallMeansUnknown() throws Exception {
        CompletableFuture<LoadReport> never = new CompletableFuture<>();
        CompletableFuture<Void> arrived = new CompletableFuture<>();
        calleeHandlers.register(LoadQuery.class, (sender, message) -> {
            arrived.complete(null);
            return never;
        });
        CompletableFuture<LoadReport> call = caller.call(target, new LoadQuery(CALLER_ID), LoadReport.class, 5_000);
        arrived.get(5, TimeUnit.SECONDS);
        proxy.rejectConnections();

        assertThat(resultCode(call)).isEqualTo(ResultCode.LINK_LOST);
    }

    @Test
    void callFailsIfAnotherMemberHasTheAddress() throws Exception {
        PeerTarget predecessor = new PeerTarget(new MemberId("predecessor"), callee.address());
        CompletableFuture<RefusalAnswer> call =
                caller.call(predecessor, new RefusalRequest(CALLER_ID, new Revision(1), 0), RefusalAnswer.class, 5_000);

        assertThat(resultCode(call)).isEqualTo(ResultCode.WRONG_MEMBER);
        assertThat(handledRequests).hasValue(0);
    }

    @Test
    void missingHandlerIsReported() throws Exception {
        CompletableFuture<LoadReport> call = caller.call(target, new LoadQuery(CALLER_ID), LoadReport.class, 5_000);

        assertThat(resultCode(call)).isEqualTo(ResultCode.UNSUPPORTED_MESSAGE);
    }

    @Test
    void oneWayBlockIsDetectedWithinOneSecond() throws Exception {
        call(1).get(5, TimeUnit.SECONDS);
        proxy.block(FaultProxy.Direction.FROM_TARGET);

        long startedNanos = System.nanoTime();
        assertThat(resultCode(call(2))).isEqualTo(ResultCode.LINK_LOST);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos))
                .isLessThanOrEqualTo(MAX_DETECTION_MS);
    }
}
