package org.coriandercrank.standin.internal;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpClient;
import org.coriandercrank.http.HttpClientOptions;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.kernel.concurrent.SingleThreadExecutor;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.time.TimerService;

/**
 * Announces a backend server to the daemon beside it: every second until accepted, then every three seconds, so that a
 * restarted daemon learns of the server. Confined to the duty of the server.
 */
public final class Announcer implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long PERIOD_MS = 1_000;
    private static final int PERIODS_WHEN_ACCEPTED = 3;
    private static final long CALL_TIMEOUT_MS = 900;

    private final SingleThreadExecutor executor;
    private final HttpClient client;
    private final HttpRequest announcement;
    private final TimerService.Subscription subscription;
    private boolean accepted;
    private int periodsSinceSent;

    public Announcer(
            EventLoopGroup group, SingleThreadExecutor executor, TimerService timers, HostAddress daemonAdmin, BackendInfo info) {
        this.executor = executor;
        this.client = new HttpClient(group, daemonAdmin, HttpClientOptions.DEFAULTS.withMaxConnections(1));
        this.announcement = new HttpRequest(
                "POST", "/v1/backend", List.of(new Header("content-type", "application/json")), JsonCodec.encode(info));
        this.subscription = timers.every(PERIOD_MS, executor, this::tick);
        executor.execute(this::send);
    }

    private void tick() {
        periodsSinceSent++;
        if (!accepted || periodsSinceSent >= PERIODS_WHEN_ACCEPTED) {
            send();
        }
    }

    private void send() {
        periodsSinceSent = 0;
        client.send(announcement, CALL_TIMEOUT_MS)
                .whenComplete((reply, failure) -> executor.offer(() -> note(reply, failure)));
    }

    private void note(HttpResponse reply, Throwable failure) {
        boolean nowAccepted = failure == null && reply.status() / 100 == 2;
        if (nowAccepted != accepted) {
            accepted = nowAccepted;
            logger.atInfo().log("event=announcement accepted=%s", nowAccepted);
        }
    }

    @Override
    public void close() {
        subscription.cancel();
        client.close();
    }
}
