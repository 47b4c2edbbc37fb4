package org.coriandercrank.ingress;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.coriandercrank.http.HttpHandler;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.http.HttpServer;
import org.coriandercrank.http.HttpServerOptions;
import org.coriandercrank.ingress.internal.balancing.Balancer;
import org.coriandercrank.ingress.internal.protocol.NativeProtocol;
import org.coriandercrank.ingress.internal.routing.DispatchContext;
import org.coriandercrank.ingress.internal.routing.DispatchResult;
import org.coriandercrank.ingress.internal.routing.IngressExecutor;
import org.coriandercrank.ingress.internal.routing.IngressMetrics;
import org.coriandercrank.ingress.internal.routing.PeerMessageHandlers;
import org.coriandercrank.ingress.internal.routing.RequestDispatch;
import org.coriandercrank.ingress.internal.routing.RetryBudgets;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.request.CallerAnswer;

/**
 * The caller side of a daemon: receives HTTP requests of callers, routes each to the gate of a backend server and
 * returns the answer to the caller.
 *
 * <p>Thread safe. Requests are parsed on I/O threads; all further state of a request is confined to the ingress
 * executor. A graceful shutdown calls {@link #stopAccepting()}, waits for {@link #drain()} and calls {@link #close()}.
 */
public final class Ingress implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** Capacity of the executor's task queue for each request that can be in flight. */
    private static final int QUEUED_TASKS_PER_REQUEST = 4;

    /** Interval at which a drain checks whether all responses are written. */
    private static final long WRITE_POLL_INTERVAL_MS = 10;

    /** Service name in metrics and log lines for a request without a known service. */
    private static final String NO_SERVICE = "none";

    /** A refusal with one of these codes is right only if the configuration is current. */
    private static final Set<ResultCode> REFUSALS_BY_CONFIGURATION = Set.of(
            ResultCode.UNKNOWN_SERVICE,
            ResultCode.UNKNOWN_ROUTE,
            ResultCode.METHOD_NOT_ALLOWED,
            ResultCode.MALFORMED_KEY,
            ResultCode.BAD_DEADLINE,
            ResultCode.BODY_TOO_LARGE);

    /** Peers prove to a daemon more often than this that its configuration is current. */
    private static final long CONFIGURATION_PROOF_MAX_AGE_MS = 5_000;

    /** The store is read again at the soonest after this time. */
    private static final long CONFIGURATION_RETRY_AFTER_MS = 1_000;

    private static final int STATUS_BODY_TOO_LARGE = 413;
    private static final int STATUS_HEADER_TOO_LARGE = 431;

    private final IngressDependencies dependencies;
    private final IngressOptions options;
    private final RequestIds requestIds = new RequestIds();
    private final CallerProtocol protocol;
    private final IngressMetrics metrics;
    private final IngressExecutor executor;
    private final DispatchContext context;
    private final AtomicInteger inFlight = new AtomicInteger();

    /** Requests that were passed to the executor and have no final answer. */
    private final Set<RequestDispatch> dispatches = ConcurrentHashMap.newKeySet();

    /** Completed when no request is in flight after the start of a drain. */
    private final CompletableFuture<Void> allAnswered = new CompletableFuture<>();

    private volatile boolean keepAliveDisabled;
    private volatile boolean draining;

    /** Set before {@link #close} visits the requests. */
    private volatile boolean closing;

    private volatile int excludedServers;
    private volatile long reservedPlacements;
    private volatile HttpServer server;

    /** Creates an ingress and registers its handlers for forwarded requests, cancellations and outcome queries. */
    public Ingress(IngressDependencies dependencies, IngressOptions options) {
        this.dependencies = dependencies;
        this.options = options;
        this.protocol =
                dependencies.protocol().orElseGet(() -> new NativeProtocol(requestIds, options.defaultRetryAfterMs()));
        this.metrics = new IngressMetrics(dependencies.meterRegistry());
        this.executor = new IngressExecutor(
                dependencies.executorFactory().create("ingress", QUEUED_TASKS_PER_REQUEST * options.maxInFlight()));
        Balancer balancer = new Balancer(
                dependencies.region(), dependencies.failureDomain(), options.outlierDetection(), new Random());
        this.context = new DispatchContext(
                dependencies,
                options,
                executor,
                balancer,
                new RetryBudgets(options.retryBudget(), dependencies.routingView()::current),
                metrics);
        metrics.registerGauges(
                inFlight::get,
                () -> excludedServers,
                counted -> server == null ? 0 : server.abandonedRequests(),
                counted -> reservedPlacements);
        PeerMessageHandlers.register(
                dependencies.peerHandlers(),
                dependencies.ownerGate(),
                dependencies.routingView(),
                dependencies.region());
    }

    /**
     * Starts to listen for callers. Port 0 selects a free port. Blocks until the port is bound; returns its address.
     */
    public HostAddress start(HostAddress listenAddress) {
        HttpServerOptions limits = HttpServerOptions.DEFAULTS;
        server = HttpServer.listen(
                dependencies.ioGroup(),
                listenAddress,
                new HttpServerOptions(
                        limits.maxInitialLineBytes(),
                        limits.maxHeaderBytes(),
                        limits.maxBodyBytes(),
                        status -> httpRejection(status, limits)),
                dependencies.uplink(),
                new CallerHandler());
        return server.address();
    }

    /** Makes each further response ask the caller to close its connection. Requests are still served. */
    public void disableKeepAlive() {
        keepAliveDisabled = true;
    }

    /** Stops accepting connections. Requests on open connections are still served. */
    public void stopAccepting() {
        if (server != null) {
            server.stopAccepting();
        }
    }

    /**
     * Refuses new requests with {@code DRAINING} and asks callers to close their connections.
     *
     * @return completes when all earlier requests are answered and their responses are written, or at the latest
     *     {@link IngressOptions#drainWriteTimeoutMs()} after the last answer
     */
    public CompletableFuture<Void> drain() {
        keepAliveDisabled = true;
        draining = true;
        completeDrainIfIdle();
        CompletableFuture<Void> drained = new CompletableFuture<>();
        allAnswered.thenRun(() ->
                awaitResponsesWritten(drained, dependencies.timers().clock().nowMs() + options.drainWriteTimeoutMs()));
        return drained;
    }

    /** The wait is bounded, because a caller that does not read its response must not block a shutdown. */
    private void awaitResponsesWritten(CompletableFuture<Void> drained, long deadlineMs) {
        boolean written = server == null || server.pendingResponses() == 0;
        if (written || dependencies.timers().clock().nowMs() >= deadlineMs) {
            drained.complete(null);
        } else {
            dependencies
                    .timers()
                    .once(WRITE_POLL_INTERVAL_MS, Runnable::run, () -> awaitResponsesWritten(drained, deadlineMs));
        }
    }

    /** Number of callers' requests that have no answer yet. */
    public int inFlight() {
        return inFlight.get();
    }

    /**
     * Gives each request without an answer its final answer, closes all connections of callers and stops the ingress
     * executor. Blocks for half a second at most, as {@link HttpServer#close()}.
     */
    @Override
    public void close() {
        draining = true;
        closing = true;
        context.execute(() -> List.copyOf(dispatches).forEach(RequestDispatch::shutDown));
        if (server != null) {
            server.close();
        }
        executor.close();
    }

    /** A request and the version of the configuration by which it was parsed. */
    private record Parsed(ParsedRequest request, long configurationVersion) {
        Optional<CallerAnswer> refusal() {
            return request.refusal();
        }
    }

    private final class CallerHandler implements HttpHandler {
        @Override
        public CompletableFuture<HttpResponse> handle(HttpRequest request, CompletableFuture<Void> connectionClosed) {
            return handle(request, connectionClosed, 0);
        }

        @Override
        public CompletableFuture<HttpResponse> handle(
                HttpRequest request, CompletableFuture<Void> connectionClosed, long waitedNanos) {
            return Ingress.this.handle(
                    request, connectionClosed, dependencies.timers().clock().nowNanos() - waitedNanos);
        }
    }

    private CompletableFuture<HttpResponse> handle(
            HttpRequest request, CompletableFuture<Void> connectionClosed, long receivedAtNanos) {
        Parsed parsed = parse(request);
        Optional<CallerAnswer> refusal = parsed.refusal();
        if (refusal.isPresent()
                && REFUSALS_BY_CONFIGURATION.contains(refusal.get().code())) {
            return handleByCurrentConfiguration(request, connectionClosed, receivedAtNanos);
        }
        return handle(parsed, connectionClosed, receivedAtNanos);
    }

    private Parsed parse(HttpRequest request) {
        RoutingSnapshot snapshot = dependencies.routingView().current();
        return new Parsed(
                protocol.parse(request, snapshot), snapshot.configuration().version());
    }

    /**
     * Handles a request that the configuration in force does not allow. A newer one may, so the request is refused only
     * by a configuration that is known to be current.
     */
    private CompletableFuture<HttpResponse> handleByCurrentConfiguration(
            HttpRequest request, CompletableFuture<Void> connectionClosed, long receivedAtNanos) {
        if (inFlight.incrementAndGet() > options.maxInFlight()) {
            onRequestFinished();
            return refuse(
                    parse(request),
                    CallerAnswer.of(ResultCode.OVERLOADED, "this daemon has too many requests in flight"),
                    receivedAtNanos);
        }
        return dependencies
                .configurationProof()
                .confirm(CONFIGURATION_PROOF_MAX_AGE_MS)
                .exceptionally(failure -> false)
                .thenComposeAsync(
                        current -> {
                            Parsed parsed = parse(request);
                            CompletableFuture<HttpResponse> response =
                                    current || parsed.refusal().isEmpty()
                                            ? handle(parsed, connectionClosed, receivedAtNanos)
                                            : refuse(parsed, configurationUnconfirmed(), receivedAtNanos);
                            onRequestFinished();
                            return response;
                        },
                        dependencies.ioGroup());
    }

    private static CallerAnswer configurationUnconfirmed() {
        return CallerAnswer.retryLater(
                ResultCode.CONFIGURATION_UNCONFIRMED,
                "the configuration of this daemon does not allow the request, and the store does not answer",
                CONFIGURATION_RETRY_AFTER_MS);
    }

    private CompletableFuture<HttpResponse> handle(
            Parsed parsed, CompletableFuture<Void> connectionClosed, long receivedAtNanos) {
        if (parsed.refusal().isPresent()) {
            return refuse(parsed, parsed.refusal().get(), receivedAtNanos);
        }
        int inFlightNow = inFlight.incrementAndGet();
        if (draining || inFlightNow > options.maxInFlight()) {
            onRequestFinished();
            CallerAnswer refusal = draining
                    ? CallerAnswer.of(ResultCode.DRAINING, "this daemon is leaving; use another one")
                    : CallerAnswer.of(ResultCode.OVERLOADED, "this daemon has too many requests in flight");
            return refuse(parsed, refusal, receivedAtNanos);
        }
        CompletableFuture<DispatchResult> result = new CompletableFuture<>();
        RequestDispatch dispatch = new RequestDispatch(
                context,
                parsed.request().accepted().orElseThrow(),
                parsed.configurationVersion(),
                receivedAtNanos,
                result);
        dispatches.add(dispatch);
        if (!executor.offer(() -> startDispatch(dispatch, result))) {
            dispatches.remove(dispatch);
            onRequestFinished();
            return refuse(
                    parsed,
                    CallerAnswer.of(ResultCode.OVERLOADED, "the task queue of this daemon is full"),
                    receivedAtNanos);
        }
        if (closing) {
            // Begun before the close and added after it, so the close may not have seen it.
            context.execute(dispatch::shutDown);
        }
        connectionClosed.thenRun(dispatch::cancel);
        return result.handle((answer, failure) -> {
            dispatches.remove(dispatch);
            onRequestFinished();
            return failure == null
                    ? toHttpResponse(parsed.request().id(), answer)
                    : toHttpResponse(
                            parsed.request().id(), new DispatchResult(internalErrorAnswer(failure), Optional.empty()));
        });
    }

    private void startDispatch(RequestDispatch dispatch, CompletableFuture<DispatchResult> result) {
        try {
            dispatch.start();
            excludedServers = context.balancer().excludedCount();
            reservedPlacements = context.balancer().reservedPlacements();
        } catch (RuntimeException e) {
            result.completeExceptionally(e);
        }
    }

    private HttpResponse toHttpResponse(RequestId id, DispatchResult result) {
        return protocol.render(id, result.answer(), result.owner(), keepAliveDisabled);
    }

    private static CallerAnswer internalErrorAnswer(Throwable failure) {
        CrankException cause = CrankException.of(failure);
        logger.atSevere().withCause(cause).log("event=dispatch-failed");
        return CallerAnswer.of(ResultCode.INTERNAL, "unexpected error");
    }

    private CompletableFuture<HttpResponse> refuse(Parsed parsed, CallerAnswer refusal, long receivedAtNanos) {
        ParsedRequest request = parsed.request();
        String service = request.accepted().map(a -> a.service().name().value()).orElse(NO_SERVICE);
        metrics.recordRequest(
                service, refusal.code(), dependencies.timers().clock().nowNanos() - receivedAtNanos);
        dependencies
                .decisionLog()
                .log(() -> "event=refuse service=" + service + " request=" + request.id() + " result=" + refusal.code()
                        + context.configurationFields(parsed.configurationVersion()));
        return CompletableFuture.completedFuture(
                protocol.render(request.id(), refusal, Optional.empty(), keepAliveDisabled));
    }

    /** Renders the response to a request that the HTTP server rejected with a status. */
    private HttpResponse httpRejection(int status, HttpServerOptions limits) {
        CallerAnswer answer = switch (status) {
            case STATUS_BODY_TOO_LARGE ->
                CallerAnswer.of(
                        ResultCode.BODY_TOO_LARGE, "body: at most " + limits.maxBodyBytes() + " bytes are allowed");
            case STATUS_HEADER_TOO_LARGE ->
                CallerAnswer.of(
                        ResultCode.HEADER_TOO_LARGE,
                        "header: at most " + limits.maxInitialLineBytes() + " bytes are allowed in the request line, "
                                + limits.maxHeaderBytes() + " in all header fields");
            default -> CallerAnswer.of(ResultCode.BAD_REQUEST, "request: is not valid HTTP/1.1");
        };
        metrics.recordRequest(NO_SERVICE, answer.code(), 0);
        return protocol.render(requestIds.generate(), answer, Optional.empty(), true);
    }

    private void onRequestFinished() {
        inFlight.decrementAndGet();
        completeDrainIfIdle();
    }

    private void completeDrainIfIdle() {
        if (draining && inFlight.get() == 0) {
            allAnswered.complete(null);
        }
    }
}
