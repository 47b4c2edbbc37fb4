package org.coriandercrank.adapters;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.http.HttpServer;
import org.coriandercrank.http.HttpServerOptions;
import org.coriandercrank.kernel.backend.Grant;
import org.coriandercrank.kernel.backend.ProbeResult;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.time.MonotonicClock;
import org.coriandercrank.kernel.time.Stopwatch;
import org.coriandercrank.kernel.time.SystemTimerService;
import org.coriandercrank.kernel.time.TimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a grant that is valid at the server for longer than the lease that its sender had when it made the
 * grant: the adapter reads the clock of an unknown server process first, and the host may be suspended meanwhile.
 */
class GrantSentAtTest {
    private static final long SUSPENSION_NANOS = TimeUnit.SECONDS.toNanos(6);
    private static final String STALE_INSTANCE = "earlier";
    private static final String INSTANCE = "present";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final SystemTimerService systemTimers = new SystemTimerService();

    /** Clock of the host, which the adapter and the server share; it advances only during a suspension. */
    private final AtomicLong hostNanos = new AtomicLong();

    /** Sending time that the accepted grant states. */
    private final CompletableFuture<Long> statedNanos = new CompletableFuture<>();

    @AfterEach
    void stop() {
        systemTimers.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** The host is suspended before the answer that tells the adapter the clock of the server process. */
    @ParameterizedTest
    @ValueSource(strings = {INSTANCE, STALE_INSTANCE})
    void validityCountsFromTheCallAlthoughTheClockIsReadFirst(String firstInstance) throws Exception {
        try (HttpServer server = HttpServer.listen(
                        group,
                        new HostAddress("127.0.0.1", 0),
                        HttpServerOptions.DEFAULTS,
                        10,
                        (request, closed) -> CompletableFuture.completedFuture(answer(request, firstInstance)));
                HttpBackendServer backend = connect(server)) {
            Await.eventually(() -> isAnswered(backend));
            long calledAtNanos = hostNanos.get();
            Await.value(backend.grant(new Grant(1, List.of(), 2_000), Stopwatch.start(hostNanos::get)));
            assertThat(Await.value(statedNanos)).isLessThanOrEqualTo(calledAtNanos);
        }
    }

    /** The host is suspended after the validity is determined and before the adapter is called; the clock is known. */
    @Test
    void validityCountsFromItsDeterminationAlthoughTheCallIsLate() throws Exception {
        try (HttpServer server = HttpServer.listen(
                        group,
                        new HostAddress("127.0.0.1", 0),
                        HttpServerOptions.DEFAULTS,
                        10,
                        (request, closed) -> CompletableFuture.completedFuture(answerWithClock(request)));
                HttpBackendServer backend = connect(server)) {
            Await.eventually(() -> isAnswered(backend));
            Stopwatch sinceValidity = Stopwatch.start(hostNanos::get);
            hostNanos.addAndGet(SUSPENSION_NANOS);
            Await.value(backend.grant(new Grant(1, List.of(), 2_000), sinceValidity));
            assertThat(Await.value(statedNanos)).isEqualTo(sinceValidity.startNanos());
        }
    }

    /** The server has no clock, so its validity counts from the arrival; the host is suspended before the call. */
    @ParameterizedTest
    @CsvSource({"0, 2000", "1500, 500", "6000, 0"})
    void serverWithoutClockGetsTheRestOfTheValidity(long suspensionMs, long expectedMs) throws Exception {
        CompletableFuture<Long> statedMs = new CompletableFuture<>();
        try (HttpServer server = HttpServer.listen(
                        group, new HostAddress("127.0.0.1", 0), HttpServerOptions.DEFAULTS, 10, (request, closed) -> {
                            if (request.path().equals("/control/grant")) {
                                statedMs.complete(JsonCodec.decode(request.body(), Grant.class)
                                        .validityMs());
                            }
                            return CompletableFuture.completedFuture(
                                    HttpResponse.json(200, JsonCodec.encode(Map.of("sequence", 1))));
                        });
                HttpBackendServer backend = connect(server)) {
            Await.eventually(() -> isAnswered(backend));
            Stopwatch sinceValidity = Stopwatch.start(hostNanos::get);
            hostNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(suspensionMs));
            Await.value(backend.grant(new Grant(1, List.of(), 2_000), sinceValidity));
            assertThat(Await.value(statedMs)).isEqualTo(expectedMs);
        }
    }

    private HttpBackendServer connect(HttpServer server) {
        return new HttpBackendServer(
                group,
                hostTimers(),
                new BackendInfo("desk-1", new ServiceName("counter-desk"), server.address(), 1, 8, Set.of()));
    }

    /** Whether the server answers in time; the first call may be slow on a busy machine. */
    private static boolean isAnswered(HttpBackendServer backend) {
        return backend.probe().join() == ProbeResult.ANSWERED;
    }

    private HttpResponse answer(HttpRequest request, String firstInstance) {
        if (request.path().equals("/health")) {
            return HttpResponse.text(200, "{}");
        }
        if (request.path().equals("/control/clock")) {
            return afterSuspension(200, firstInstance);
        }
        Optional<String> sentAt = request.header("crank-sent-at");
        if (sentAt.isPresent() && sentAt.get().startsWith(STALE_INSTANCE)) {
            return afterSuspension(412, INSTANCE);
        }
        return answerWithClock(request);
    }

    private HttpResponse answerWithClock(HttpRequest request) {
        request.header("crank-sent-at")
                .ifPresent(text -> statedNanos.complete(Long.parseLong(text.substring(text.indexOf(':') + 1))));
        return response(200, INSTANCE);
    }

    private HttpResponse afterSuspension(int status, String instance) {
        hostNanos.addAndGet(SUSPENSION_NANOS);
        return response(status, instance);
    }

    private HttpResponse response(int status, String instance) {
        return new HttpResponse(
                status,
                List.of(new Header("crank-clock", instance + ":" + hostNanos.get())),
                JsonCodec.encode(Map.of("sequence", 1)));
    }

    private TimerService hostTimers() {
        return new TimerService() {
            @Override
            public MonotonicClock clock() {
                return hostNanos::get;
            }

            @Override
            public Subscription every(long periodMs, Executor executor, Runnable task) {
                return systemTimers.every(periodMs, executor, task);
            }

            @Override
            public Subscription once(long delayMs, Executor executor, Runnable task) {
                return systemTimers.once(delayMs, executor, task);
            }

            @Override
            public void close() {}
        };
    }
}
