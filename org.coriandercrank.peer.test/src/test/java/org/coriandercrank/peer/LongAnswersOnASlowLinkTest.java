package org.coriandercrank.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
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
import org.coriandercrank.kernel.time.SystemTimerService;
import org.coriandercrank.kernel.time.TimerService;
import org.coriandercrank.scheduling.link.Uplink;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against long answers that fill the link of a host: short answers to other daemons, on other connections too, then
 * wait until their callers have given up, and silent links are closed.
 */
class LongAnswersOnASlowLinkTest {
    private static final MemberId CALLEE_ID = new MemberId("called");
    private static final double LINK_MBIT_PER_SECOND = 10;
    private static final int CALLERS = 14;
    private static final int ROUNDS = 2;
    private static final int LONG_BYTES = 150_000;
    private static final int SHORT_CALL_INTERVAL_MS = 40;
    private static final long TIMEOUT_MS = 20_000;

    /** Deadline of the calls that running requests make on the platform of the incident. */
    private static final long SHORT_CALL_DEADLINE_MS = 300;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final TimerService timers = new SystemTimerService();
    private final List<PeerNetwork> networks = new ArrayList<>();

    @AfterEach
    void stop() {
        networks.forEach(PeerNetwork::close);
        timers.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private PeerNetwork newNetwork(MemberId self, PeerHandlers handlers, Uplink uplink) {
        PeerNetwork network = new PeerNetwork(
                group,
                new HostAddress("127.0.0.1", 0),
                () -> self,
                handlers,
                PeerOptions.DEFAULTS,
                uplink,
                new SimpleMeterRegistry());
        networks.add(network);
        return network;
    }

    private static CompletableFuture<ForwardAnswer> call(PeerNetwork caller, HostAddress address, int answerBytes) {
        CallerRequest request = new CallerRequest(
                new RequestId("r"),
                new ServiceName("desk"),
                Optional.empty(),
                "GET",
                "/" + answerBytes,
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

    /** Calls for long answers one after the other. */
    private static CompletableFuture<Void> callForLongAnswers(PeerNetwork caller, HostAddress address, int rounds) {
        return rounds == 0
                ? CompletableFuture.completedFuture(null)
                : call(caller, address, LONG_BYTES).thenCompose(answer -> {
                    assertThat(answer.answer().body()).hasSize(LONG_BYTES);
                    return callForLongAnswers(caller, address, rounds - 1);
                });
    }

    @Test
    void shortAnswersArriveBeforeTheirDeadline() throws Exception {
        PeerHandlers handlers = new PeerHandlers();
        handlers.register(
                ForwardRequest.class,
                (sender, message) -> CompletableFuture.completedFuture(new ForwardAnswer(
                        CallerAnswer.executed(
                                200,
                                List.of(),
                                new byte
                                        [Integer.parseInt(
                                                message.request().path().substring(1))]),
                        new Generation(3))));
        PeerNetwork callee = newNetwork(CALLEE_ID, handlers, new Uplink(LINK_MBIT_PER_SECOND, timers));
        try (SharedLink link = new SharedLink(callee.address(), LINK_MBIT_PER_SECOND)) {
            PeerNetwork shortCaller = newNetwork(new MemberId("short"), new PeerHandlers(), Uplink.UNLIMITED);
            call(shortCaller, link.address(), 0).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            List<PeerNetwork> longCallers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                longCallers.add(newNetwork(new MemberId("long" + i), new PeerHandlers(), Uplink.UNLIMITED));
            }
            CompletableFuture<?>[] longCalls = longCallers.stream()
                    .map(caller -> callForLongAnswers(caller, link.address(), ROUNDS))
                    .toArray(CompletableFuture<?>[]::new);
            List<Long> otherConnectionMs = new ArrayList<>();
            List<Long> sameConnectionMs = new ArrayList<>();
            while (!CompletableFuture.allOf(longCalls).isDone()) {
                otherConnectionMs.add(timeOf(shortCaller, link));
                sameConnectionMs.add(timeOf(longCallers.get(0), link));
                Thread.sleep(SHORT_CALL_INTERVAL_MS);
            }
            CompletableFuture.allOf(longCalls).get();
            System.out.println(otherConnectionMs.size() + " short calls beside " + CALLERS * ROUNDS
                    + " long answers took up to " + Collections.max(otherConnectionMs) + " ms, up to "
                    + Collections.max(sameConnectionMs) + " ms on a connection with long answers");
            assertThat(otherConnectionMs).hasSizeGreaterThan(20).allMatch(ms -> ms <= SHORT_CALL_DEADLINE_MS);
            assertThat(sameConnectionMs).allMatch(ms -> ms <= SHORT_CALL_DEADLINE_MS);
        }
    }

    private static long timeOf(PeerNetwork caller, SharedLink link) throws Exception {
        long startedNanos = System.nanoTime();
        call(caller, link.address(), 0).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    }
}
