package org.coriandercrank.adapters;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.adapters.internal.BackendResponses;
import org.coriandercrank.adapters.internal.RequestIdMatcher;
import org.coriandercrank.adapters.internal.ServerClockEstimate;
import org.coriandercrank.adapters.internal.UrlEncoding;
import org.coriandercrank.http.HttpClient;
import org.coriandercrank.http.HttpClientException;
import org.coriandercrank.http.HttpClientOptions;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.backend.BackendCall;
import org.coriandercrank.kernel.backend.BackendHealth;
import org.coriandercrank.kernel.backend.BackendServer;
import org.coriandercrank.kernel.backend.Grant;
import org.coriandercrank.kernel.backend.ProbeResult;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;
import org.coriandercrank.kernel.request.Header;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.time.Stopwatch;
import org.coriandercrank.kernel.time.TimerService;

/**
 * Client of a backend server over HTTP; see {@code docs/PROTOCOL_BACKEND.md} for the protocol.
 *
 * <p>Thread safe. Invariants: requests and control calls together use at most {@code maxConnections} connections of
 * {@link BackendInfo}; a request is written to at most one connection and never repeated. Control calls use one or two
 * dedicated connections, so that they do not wait behind requests. If the server allows only one connection, requests
 * and control calls share it.
 */
public final class HttpBackendServer implements BackendServer {
    private static final int MAX_CONTROL_CONNECTIONS = 2;

    /** Connection limit from which two connections for control calls are a small share of all connections. */
    private static final int MIN_CONNECTIONS_FOR_TWO_CONTROL = 8;

    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int MAX_BODY_BYTES = 16_777_216;

    /**
     * Below the 60 s after which common servers close idle connections, so that a reused connection is rarely stale.
     */
    private static final long IDLE_TIMEOUT_MS = 30_000;

    private static final int MAX_QUEUED_CONTROL_CALLS = 1_024;
    private static final long CONTROL_TIMEOUT_MS = 1_000;
    private static final long WARM_UP_INTERVAL_MS = 5_000;

    /** Time after the deadline in which the server can still report that it did not execute the call. */
    private static final long DEADLINE_GRACE_MS = 100;

    /** Limit on the timeout of a call (one day), so that its conversion to nanoseconds cannot overflow. */
    private static final long MAX_DEADLINE_MS = 86_400_000;

    /**
     * The server process was replaced since its clock was last read; the response contains the clock of the new one.
     */
    private static final int STATUS_CLOCK_MISMATCH = 412;

    private final HttpClient requestClient;
    private final HttpClient controlClient;
    private final int requestConnections;
    private final int warmConnections;
    private final TimerService.Subscription warmUpTimer;
    private final ServerClockEstimate serverClock;

    /** Opens connections to a server; the caller closes the group and the timers. */
    public HttpBackendServer(EventLoopGroup group, TimerService timers, BackendInfo info) {
        int maxConnections = info.maxConnections();
        int controlConnections = maxConnections == 1
                ? 0
                : maxConnections < MIN_CONNECTIONS_FOR_TWO_CONTROL ? 1 : MAX_CONTROL_CONNECTIONS;
        requestConnections = maxConnections - controlConnections;
        warmConnections = Math.min(info.slots(), requestConnections);
        requestClient = new HttpClient(group, info.address(), options(requestConnections, requestConnections));
        controlClient = controlConnections == 0
                ? requestClient
                : new HttpClient(group, info.address(), options(controlConnections, MAX_QUEUED_CONTROL_CALLS));
        serverClock = new ServerClockEstimate(timers.clock());
        requestClient.warmUp(warmConnections);
        warmUpTimer = timers.every(WARM_UP_INTERVAL_MS, Runnable::run, () -> requestClient.warmUp(warmConnections));
    }

    private static HttpClientOptions options(int maxConnections, int maxQueuedRequests) {
        return new HttpClientOptions(
                maxConnections,
                maxQueuedRequests,
                CONNECT_TIMEOUT_MS,
                MAX_BODY_BYTES,
                IDLE_TIMEOUT_MS,
                new RequestIdMatcher());
    }

    @Override
    public CompletableFuture<CallerAnswer> execute(BackendCall call) {
        CallerRequest request = call.request();
        HttpRequest httpRequest = new HttpRequest(request.method(), request.path(), headers(call), request.body());
        long timeoutMs = Math.min(request.remainingMs(), MAX_DEADLINE_MS) + DEADLINE_GRACE_MS;
        return BackendResponses.toAnswer(request.id(), requestClient.send(httpRequest, timeoutMs));
    }

    /**
     * Returns the headers of the request; headers of the protocol replace headers of the caller with the same names.
     */
    private static List<Header> headers(BackendCall call) {
        CallerRequest request = call.request();
        List<Header> headers = new ArrayList<>(request.headers().size() + 4);
        for (Header header : request.headers()) {
            if (!BackendResponses.REQUEST_HEADERS.contains(header.name())) {
                headers.add(header);
            }
        }
        headers.add(new Header(BackendResponses.REQUEST_ID, request.id().value()));
        headers.add(new Header(BackendResponses.DEADLINE_MS, Long.toString(request.remainingMs())));
        request.key().ifPresent(key -> {
            headers.add(new Header(BackendResponses.KEY, UrlEncoding.encode(key.value())));
            headers.add(new Header(BackendResponses.FENCE, call.fence().toString()));
        });
        return headers;
    }

    @Override
    public void cancel(RequestId requestId) {
        controlCall(HttpRequest.of("POST", "/control/cancel/" + requestId));
    }

    @Override
    public CompletableFuture<Long> grant(Grant grant, Stopwatch sinceValidity) {
        CompletableFuture<HttpResponse> firstResponse = serverClock.isKnown()
                ? sendGrant(grant, sinceValidity)
                : controlCall(HttpRequest.of("GET", "/control/clock"))
                        .thenCompose(response -> sendGrant(grant, sinceValidity));
        return firstResponse
                .thenCompose(response -> response.status() == STATUS_CLOCK_MISMATCH
                        ? sendGrant(grant, sinceValidity)
                        : CompletableFuture.completedFuture(response))
                .thenApply(BackendResponses::grantSequence);
    }

    private CompletableFuture<HttpResponse> sendGrant(Grant grant, Stopwatch sinceValidity) {
        List<Header> sentAt = serverClock.sentAtHeader(sinceValidity);
        // A server without a clock counts from the arrival.
        Grant stated = sentAt.isEmpty() ? grant.aged(sinceValidity.elapsedNanos()) : grant;
        return controlCall(new HttpRequest("PUT", "/control/grant", sentAt, JsonCodec.encode(stated)));
    }

    @Override
    public CompletableFuture<Void> drain() {
        return controlCall(HttpRequest.of("POST", "/control/drain")).thenAccept(BackendResponses::requireOk);
    }

    @Override
    public CompletableFuture<BackendHealth> health() {
        return controlCall(HttpRequest.of("GET", "/health")).thenApply(response -> {
            BackendResponses.requireOk(response);
            JsonNode node = JsonCodec.decode(response.body(), JsonNode.class);
            return new BackendHealth(
                    node.path("healthy").asBoolean(),
                    node.path("draining").asBoolean(),
                    node.path("load").asInt());
        });
    }

    @Override
    public CompletableFuture<ProbeResult> probe() {
        return controlClient
                .send(HttpRequest.of("GET", "/health"), CONTROL_TIMEOUT_MS)
                .handle((response, failure) -> {
                    if (failure == null) {
                        return ProbeResult.ANSWERED;
                    }
                    return HttpClientException.isConnectionRefused(failure) ? ProbeResult.REFUSED : ProbeResult.SILENT;
                });
    }

    private CompletableFuture<HttpResponse> controlCall(HttpRequest request) {
        return BackendResponses.requireResponse(controlClient.send(request, CONTROL_TIMEOUT_MS))
                .whenComplete((response, failure) -> {
                    if (failure == null) {
                        serverClock.observe(response);
                    }
                });
    }

    @Override
    public void close() {
        warmUpTimer.cancel();
        requestClient.close();
        controlClient.close();
    }
}
