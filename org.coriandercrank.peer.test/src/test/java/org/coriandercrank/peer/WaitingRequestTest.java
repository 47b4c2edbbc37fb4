package org.coriandercrank.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.EventExecutor;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.message.CancelRequest;
import org.coriandercrank.kernel.message.ForwardAnswer;
import org.coriandercrank.kernel.message.ForwardRequest;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.testkit.FaultProxy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests requests that wait in a link, for its handshake or for room in its connection. */
class WaitingRequestTest {
    private static final HostAddress ANY_PORT = new HostAddress("127.0.0.1", 0);
    private static final MemberId CALLEE_ID = new MemberId("called");
    private static final long REMAINING_MS = 2_000;
    private static final long HANDSHAKE_DELAY_MS = 300;
    private static final int LARGE_BODY_BYTES = 1_048_576;

    /** More than the socket buffers between the two daemons hold, which some kernels let grow beyond 32 MB. */
    private static final int LARGE_REQUESTS = 64;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    /** One event loop for the callee, so that a task on it keeps the callee from reading. */
    private final EventLoopGroup calleeGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    private final BlockingQueue<CallerRequest> handled = new LinkedBlockingQueue<>();
    private PeerNetwork caller;
    private PeerNetwork callee;
    private FaultProxy proxy;
    private PeerTarget target;

    @BeforeEach
    void start() {
        PeerHandlers handlers = new PeerHandlers();
        handlers.register(ForwardRequest.class, (sender, message) -> {
            handled.add(message.request());
            return CompletableFuture.completedFuture(
                    new ForwardAnswer(CallerAnswer.executed(200, List.of(), new byte[0]), Generation.NONE));
        });
        handlers.register(CancelRequest.class, (sender, message) -> null);
        caller = newNetwork(group, new MemberId("calling"), new PeerHandlers());
        callee = newNetwork(calleeGroup, CALLEE_ID, handlers);
        proxy = new FaultProxy(callee.address());
        target = new PeerTarget(CALLEE_ID, proxy.address());
        proxy.blockBothDirections();
    }

    @AfterEach
    void stop() {
        proxy.close();
        caller.close();
        callee.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        calleeGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static PeerNetwork newNetwork(EventLoopGroup group, MemberId self, PeerHandlers handlers) {
        return new PeerNetwork(group, ANY_PORT, () -> self, handlers, PeerOptions.DEFAULTS, new SimpleMeterRegistry());
    }

    private CompletableFuture<ForwardAnswer> forward(String id) {
        return forward(id, 0);
    }

    private CompletableFuture<ForwardAnswer> forward(String id, int bodyBytes) {
        CallerRequest request = new CallerRequest(
                new RequestId(id),
                new ServiceName("desk"),
                Optional.empty(),
                "GET",
                "/tickets",
                List.of(),
                new byte[bodyBytes],
                REMAINING_MS,
                Optional.empty(),
                OptionalLong.empty(),
                Optional.empty());
        return caller.call(target, new ForwardRequest(request, Generation.NONE), ForwardAnswer.class, REMAINING_MS);
    }

    /** The cancellation waited behind its request for the handshake, and both were sent. */
    @Test
    void requestCancelledBeforeTheHandshakeIsNotSent() throws Exception {
        CompletableFuture<ForwardAnswer> cancelled = forward("cancelled");
        CompletableFuture<ForwardAnswer> kept = forward("kept");
        caller.send(target, new CancelRequest(new RequestId("cancelled")));
        proxy.clearFaults();
        kept.get(5, TimeUnit.SECONDS);
        assertThat(handled).extracting(request -> request.id().value()).containsExactly("kept");
        assertThat(cancelled).isCompletedExceptionally();
    }

    /** The remaining time was that of the moment at which the request was forwarded. */
    @Test
    void waitingForTheHandshakeCountsAgainstTheDeadline() throws Exception {
        CompletableFuture<ForwardAnswer> answer = forward("waiting");
        Thread.sleep(HANDSHAKE_DELAY_MS);
        proxy.clearFaults();
        answer.get(5, TimeUnit.SECONDS);
        assertThat(handled.remove().remainingMs()).isLessThanOrEqualTo(REMAINING_MS - HANDSHAKE_DELAY_MS);
    }

    /** Keeps the event loop of the callee from reading until the latch is released. */
    private CountDownLatch occupyCallee() throws InterruptedException {
        CountDownLatch occupied = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        calleeGroup.next().execute(() -> {
            occupied.countDown();
            try {
                release.await(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        assertThat(occupied.await(5, TimeUnit.SECONDS)).isTrue();
        return release;
    }

    /** Waits until the event loops of the caller have carried out all tasks that they have now. */
    private void awaitCaller() throws InterruptedException {
        for (EventExecutor loop : group) {
            loop.submit(() -> {}).sync();
        }
    }

    /** The cancellation waited behind its request for room in the connection, and both were sent. */
    @Test
    void requestCancelledWhileTheConnectionIsFullIsNotSent() throws Exception {
        target = new PeerTarget(CALLEE_ID, callee.address());
        forward("first").get(5, TimeUnit.SECONDS);
        CountDownLatch release = occupyCallee();
        for (int i = 0; i < LARGE_REQUESTS; i++) {
            forward("large-" + i, LARGE_BODY_BYTES);
        }
        forward("cancelled");
        CompletableFuture<ForwardAnswer> kept = forward("kept");
        caller.send(target, new CancelRequest(new RequestId("cancelled")));
        awaitCaller();
        release.countDown();
        kept.get(5, TimeUnit.SECONDS);
        assertThat(handled)
                .hasSize(LARGE_REQUESTS + 2)
                .noneMatch(request -> request.id().equals(new RequestId("cancelled")));
    }
}
