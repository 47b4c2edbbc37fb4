package org.coriandercrank.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.EventExecutor;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;
import org.junit.jupiter.api.Test;

/** Tests requests whose caller leaves while they wait in the task queue of the ingress. */
class CancelledDispatchTest {
    private static final long TIMEOUT_S = 10;

    /** Rounds of tasks after which each event loop has read the end of a connection and passed it on. */
    private static final int EVENT_LOOP_ROUNDS = 4;

    private static final Member OWNER =
            IngressFixture.member("b", "east", IngressFixture.KEYED_SERVICE, MemberState.ACTIVE);

    private final IngressFixture fixture =
            new IngressFixture(IngressFixture.snapshotOwnedBy("b", 1, OWNER), IngressFixture.options(10, 10));

    private Socket sendRequest(String id) throws Exception {
        Socket socket = new Socket(fixture.address.ip(), fixture.address.port());
        String request = "GET /v1/cardfront/k1 HTTP/1.1\r\nHost: x\r\nCrank-Request-Id: " + id + "\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private void awaitInFlight(int count) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (fixture.ingress.inFlight() != count && System.nanoTime() < deadlineNanos) {
            Thread.sleep(1);
        }
        assertThat(fixture.ingress.inFlight()).isEqualTo(count);
    }

    private void awaitEventLoops() throws InterruptedException {
        for (int round = 0; round < EVENT_LOOP_ROUNDS; round++) {
            for (EventExecutor loop : fixture.eventLoopGroup) {
                loop.submit(() -> {}).sync();
            }
        }
    }

    /** The cancellation waited behind the start of the request, which forwarded it first. */
    @Test
    void requestWhoseCallerLeftWhileItWaitedIsNotForwarded() throws Exception {
        CountDownLatch occupied = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        fixture.peers.onForward = (request, number) -> {
            occupied.countDown();
            try {
                release.await(TIMEOUT_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return FakePeers.executed();
        };
        try (fixture;
                Socket occupying = sendRequest("occupying")) {
            assertThat(occupied.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
            Socket leaving = sendRequest("leaving");
            awaitInFlight(2);
            leaving.close();
            awaitEventLoops();
            release.countDown();
            awaitInFlight(0);
            assertThat(occupying.getInputStream().read()).isPositive();
            assertThat(fixture.peers.forwards)
                    .extracting(forward -> forward.request().id())
                    .containsExactly(new RequestId("occupying"));
            assertThat(fixture.counterValue("crank.ingress.forwards")).isEqualTo(1);
        }
    }
}
