package org.coriandercrank.ingress;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.coriandercrank.http.HttpRequest;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.http.HttpServer;
import org.coriandercrank.http.HttpServerOptions;
import org.coriandercrank.ingress.internal.balancing.Balancer;
import org.coriandercrank.ingress.internal.protocol.NativeProtocol;
import org.coriandercrank.ingress.internal.routing.DispatchContext;
import org.coriandercrank.ingress.internal.routing.DispatchResult;
import org.coriandercrank.ingress.internal.routing.ForwardHandlers;
import org.coriandercrank.ingress.internal.routing.IngressMetrics;
import org.coriandercrank.ingress.internal.routing.RequestDispatch;
import org.coriandercrank.ingress.internal.routing.RequestExecutor;
import org.coriandercrank.ingress.internal.routing.RetryBudgets;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.request.CallerAnswer;

/**
 * The caller side of a daemon: takes callers' HTTP requests, routes each to the gate of its owner and answers it.
 *
 * <p>Thread safe. Requests are parsed on I/O threads; all further state of requests belongs to one duty thread. A
 * planned stop calls {@link #stopAccepting()}, waits for {@link #drain()} and then calls {@link #close()}.
 */
public final class Ingress implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int RING_SLOTS_PER_REQUEST = 4;
    private static final long WRITTEN_POLL_MS = 10;
    private static final String NO_SERVICE = "none";

    private final IngressDependencies parts;
    private final IngressOptions options;
    private final RequestIds ids = new RequestIds();
    private final CallerProtocol protocol;
    private final IngressMetrics metrics;
    private final RequestExecutor duty;
    private final DispatchContext context;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final CompletableFuture<Void> idleWhileDraining = new CompletableFuture<>();
    private volatile boolean closing;
    private volatile boolean draining;
    private volatile int excludedServers;
    private volatile HttpServer server;

    /** Registers the handlers for requests, cancellations and outcome queries of other daemons. */
    public Ingress(IngressDependencies parts, IngressOptions options) {
        this.parts = parts;
        this.options = options;
        this.protocol = parts.protocol().orElseGet(() -> new NativeProtocol(ids, options.defaultRetryAfterMs()));
        this.metrics = new IngressMetrics(parts.meters());
        this.duty =
                new RequestExecutor(parts.duties().create("ingress", RING_SLOTS_PER_REQUEST * options.maxInFlight()));
        Balancer balancer =
                new Balancer(parts.region(), parts.failureDomain(), options.outlierDetection(), new Random());
        this.context =
                new DispatchContext(parts, options, duty, balancer, new RetryBudgets(options.retryBudget()), metrics);
        metrics.registerGauges(inFlight::get, () -> excludedServers);
        ForwardHandlers.register(parts.handlers(), parts.gate(), parts.view());
    }

    /** Listens for callers; port 0 takes a free port. Blocks until the port is bound and returns it. */
    public HostAddress start(HostAddress listen) {
        HttpServerOptions limits = HttpServerOptions.DEFAULTS;
        server = HttpServer.listen(
                parts.ioGroup(),
                listen,
                new HttpServerOptions(
                        limits.maxInitialLineBytes(),
                        limits.maxHeaderBytes(),
                        limits.maxBodyBytes(),
                        status -> rejection(status, limits)),
                this::handle);
        return server.address();
    }

    /** Serves on, and asks callers to close their connections with the next answer. */
    public void disableKeepAlive() {
        closing = true;
    }

    /** Accepts no further connections; requests on open ones are still served. */
    public void stopAccepting() {
        if (server != null) {
            server.stopAccepting();
        }
    }

    /**
     * Refuses new requests with {@code DRAINING} and asks callers to close their connections. Completes when all
     * earlier requests are answered and the answers are written, or the time for writing them has passed.
     */
    public CompletableFuture<Void> drain() {
        closing = true;
        draining = true;
        completeIfIdle();
        CompletableFuture<Void> drained = new CompletableFuture<>();
        idleWhileDraining.thenRun(
                () -> awaitWritten(drained, parts.timers().clock().nowMs() + options.drainWriteTimeoutMs()));
        return drained;
    }

    /** A caller that does not read its answer must not block a planned stop, so the wait is bounded. */
    private void awaitWritten(CompletableFuture<Void> drained, long untilMs) {
        boolean written = server == null || server.pendingResponses() == 0;
        if (written || parts.timers().clock().nowMs() >= untilMs) {
            drained.complete(null);
        } else {
            parts.timers().once(WRITTEN_POLL_MS, Runnable::run, () -> awaitWritten(drained, untilMs));
        }
    }

    /** Callers' requests that have no answer yet. */
    public int inFlight() {
        return inFlight.get();
    }

    @Override
    public void close() {
        if (server != null) {
            server.close();
        }
        duty.close();
    }

    private CompletableFuture<HttpResponse> handle(HttpRequest call, CompletableFuture<Void> closed) {
        long receivedAtNanos = parts.timers().clock().nowNanos();
        ParsedRequest parsed = protocol.parse(call, parts.view().current());
        if (parsed.refusal().isPresent()) {
            return refuse(parsed, parsed.refusal().get(), receivedAtNanos);
        }
        int now = inFlight.incrementAndGet();
        if (draining || now > options.maxInFlight()) {
            release();
            CallerAnswer refusal = draining
                    ? CallerAnswer.of(ResultCode.DRAINING, "this daemon is leaving; use another one")
                    : CallerAnswer.of(ResultCode.OVERLOADED, "this daemon holds too many requests");
            return refuse(parsed, refusal, receivedAtNanos);
        }
        CompletableFuture<DispatchResult> result = new CompletableFuture<>();
        RequestDispatch dispatch =
                new RequestDispatch(context, parsed.accepted().orElseThrow(), receivedAtNanos, result);
        if (!duty.offer(() -> start(dispatch, result))) {
            release();
            return refuse(
                    parsed,
                    CallerAnswer.of(ResultCode.OVERLOADED, "this daemon cannot take the request"),
                    receivedAtNanos);
        }
        closed.thenRun(dispatch::cancel);
        return result.handle((answer, failure) -> {
            release();
            return failure == null
                    ? reply(parsed.id(), answer)
                    : reply(parsed.id(), new DispatchResult(internal(failure), Optional.empty()));
        });
    }

    private void start(RequestDispatch dispatch, CompletableFuture<DispatchResult> result) {
        try {
            dispatch.start();
            excludedServers = context.balancer().excludedCount();
        } catch (RuntimeException e) {
            result.completeExceptionally(e);
        }
    }

    private HttpResponse reply(RequestId id, DispatchResult result) {
        return protocol.render(id, result.answer(), result.owner(), closing);
    }

    private static CallerAnswer internal(Throwable failure) {
        CrankException cause = CrankException.of(failure);
        logger.atSevere().withCause(cause).log("event=dispatch-failed");
        return CallerAnswer.of(ResultCode.INTERNAL, "unexpected error");
    }

    private CompletableFuture<HttpResponse> refuse(ParsedRequest parsed, CallerAnswer refusal, long receivedAtNanos) {
        String service = parsed.accepted().map(a -> a.service().name().value()).orElse(NO_SERVICE);
        metrics.finished(service, refusal.code(), parts.timers().clock().nowNanos() - receivedAtNanos);
        parts.decisions()
                .log(() -> "event=refuse service=" + service + " request=" + parsed.id() + " result=" + refusal.code());
        return CompletableFuture.completedFuture(protocol.render(parsed.id(), refusal, Optional.empty(), closing));
    }

    private HttpResponse rejection(int status, HttpServerOptions limits) {
        CallerAnswer answer = switch (status) {
            case 413 ->
                CallerAnswer.of(
                        ResultCode.BODY_TOO_LARGE, "body: at most " + limits.maxBodyBytes() + " bytes are allowed");
            case 431 ->
                CallerAnswer.of(
                        ResultCode.HEADER_TOO_LARGE,
                        "header: the request line may have " + limits.maxInitialLineBytes() + " bytes, all fields "
                                + limits.maxHeaderBytes());
            default -> CallerAnswer.of(ResultCode.BAD_REQUEST, "request: is not valid HTTP/1.1");
        };
        metrics.finished(NO_SERVICE, answer.code(), 0);
        return protocol.render(ids.generate(), answer, Optional.empty(), true);
    }

    private void release() {
        inFlight.decrementAndGet();
        completeIfIdle();
    }

    private void completeIfIdle() {
        if (draining && inFlight.get() == 0) {
            idleWhileDraining.complete(null);
        }
    }
}
