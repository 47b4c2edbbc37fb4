package org.coriandercrank.standin.internal;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import org.coriandercrank.http.HttpClient;
import org.coriandercrank.http.HttpClientOptions;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.concurrent.SingleThreadExecutor;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.time.TimerService;

/**
 * Announces a backend server to the daemon on its host: every second until the daemon accepts the announcement, then
 * every three seconds, so that a restarted daemon receives it again. Confined to the executor of the server.
 */
public final class Announcer implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long ANNOUNCE_INTERVAL_MS = 1_000;
    private static final int INTERVALS_WHEN_ACCEPTED = 3;
    private static final long REQUEST_TIMEOUT_MS = 900;

    private final SingleThreadExecutor executor;
    private final HttpClient client;
    private final HttpRequest announcement;
    private final TimerService.Subscription timer;
    private boolean accepted;
    private int intervalsSinceSent;

    public Announcer(
            EventLoopGroup eventLoopGroup,
            SingleThreadExecutor executor,
            TimerService timers,
            HostAddress daemonAdmin,
            BackendInfo info) {
        this.executor = executor;
        this.client = new HttpClient(eventLoopGroup, daemonAdmin, HttpClientOptions.DEFAULTS.withMaxConnections(1));
        this.announcement = new HttpRequest(
                "POST", "/v1/backend", List.of(new Header("content-type", "application/json")), JsonCodec.encode(info));
        this.timer = timers.every(ANNOUNCE_INTERVAL_MS, executor, this::onInterval);
        executor.execute(this::send);
    }

    private void onInterval() {
        intervalsSinceSent++;
        if (!accepted || intervalsSinceSent >= INTERVALS_WHEN_ACCEPTED) {
            send();
        }
    }

    private void send() {
        intervalsSinceSent = 0;
        client.send(announcement, REQUEST_TIMEOUT_MS)
                .whenComplete((response, failure) -> executor.offer(() -> onResponse(response, failure)));
    }

    private void onResponse(HttpResponse response, Throwable failure) {
        boolean nowAccepted = failure == null && response.status() / 100 == 2;
        if (nowAccepted != accepted) {
            accepted = nowAccepted;
            logger.atInfo().log("event=announcement accepted=%s", nowAccepted);
        }
    }

    @Override
    public void close() {
        timer.cancel();
        client.close();
    }
}
