package org.coriandercrank.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.http.HttpClientException.Stage;
import org.coriandercrank.kernel.id.HostAddress;

/**
 * One connection of {@link HttpClient} with at most one request in progress. Confined to the event loop of its channel.
 *
 * <p>A request that times out closes the connection, so that its late response is never taken for the response to
 * another request. A request that was refused is not sent again on the connection on which the refusal was read, where a
 * second copy of the refusal may follow.
 */
final class ClientConnectionHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    /** Interim responses to one request; a server that sends more is faulty. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    /** Refusals after which a connection is not used again, so that the ids of the refused requests stay few. */
    private static final int MAX_REFUSED_REQUESTS = 256;

    private final HttpClientOptions options;
    private final ResponseDecoder decoder;
    private final Set<String> refusedRequestIds = new HashSet<>();
    private HttpRequest request;
    private int interimResponses;
    private ChannelFuture requestWritten;

    /** Result of the request in progress; null if there is none. */
    private CompletableFuture<HttpResponse> pendingResponse;

    /** Makes the connection available for the next request. */
    private Runnable releaseConnection;

    private ScheduledFuture<?> responseTimeout;
    private ScheduledFuture<?> idleTimeout;

    ClientConnectionHandler(HttpClientOptions options, ResponseDecoder decoder) {
        this.options = options;
        this.decoder = decoder;
    }

    /** Whether the server refused a request with the same id on this connection. Called on the event loop. */
    boolean hasRefused(HttpRequest newRequest) {
        return !refusedRequestIds.isEmpty()
                && options.responseMatcher()
                        .requestId(newRequest)
                        .filter(refusedRequestIds::contains)
                        .isPresent();
    }

    /**
     * Sends a request, unless it was cancelled on the way to the event loop. Called on the event loop while no other
     * request is in progress.
     *
     * @param response completed with the response, or with an {@link HttpClientException}; cancelling it closes the
     *     connection
     * @param newReleaseConnection run when the connection can be used for another request
     */
    void send(
            Channel channel,
            HostAddress target,
            HttpRequest newRequest,
            long timeoutMs,
            CompletableFuture<HttpResponse> response,
            Runnable newReleaseConnection) {
        if (response.isDone()) {
            newReleaseConnection.run();
            return;
        }
        if (idleTimeout != null) {
            idleTimeout.cancel(false);
            idleTimeout = null;
        }
        if (!channel.isActive()) {
            response.completeExceptionally(
                    new HttpClientException(Stage.NOT_SENT, "connection to " + target + " was closed", null));
            return;
        }
        FullHttpRequest nettyRequest;
        try {
            nettyRequest = toNettyRequest(target, newRequest);
        } catch (IllegalArgumentException e) {
            newReleaseConnection.run();
            response.completeExceptionally(new HttpClientException(Stage.NOT_SENT, "request is not valid HTTP", e));
            return;
        }
        request = newRequest;
        interimResponses = 0;
        pendingResponse = response;
        releaseConnection = newReleaseConnection;
        responseTimeout = channel.eventLoop()
                .schedule(
                        () -> failAndClose(
                                channel, "no response from " + target + " within " + timeoutMs + " ms", null),
                        timeoutMs,
                        TimeUnit.MILLISECONDS);
        decoder.expectResponse(newRequest.method());
        requestWritten = channel.writeAndFlush(nettyRequest);
        response.whenComplete((result, failure) -> {
            if (response.isCancelled()) {
                channel.eventLoop().execute(() -> closeIfPending(channel, response));
            }
        });
    }

    private void closeIfPending(Channel channel, CompletableFuture<HttpResponse> cancelled) {
        if (pendingResponse == cancelled) {
            failAndClose(channel, "request was cancelled", null);
        }
    }

    private static FullHttpRequest toNettyRequest(HostAddress target, HttpRequest request) {
        FullHttpRequest nettyRequest = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.target(),
                Unpooled.wrappedBuffer(request.body()));
        HeaderConverter.toNetty(request.headers(), nettyRequest.headers());
        nettyRequest
                .headers()
                .set(HttpHeaderNames.HOST, request.header(HeaderConverter.HOST).orElse(target.toString()));
        if (request.body().length > 0 || !("GET".equals(request.method()) || "HEAD".equals(request.method()))) {
            nettyRequest.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        return nettyRequest;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse nettyResponse) {
        CompletableFuture<HttpResponse> pending = pendingResponse;
        Runnable release = releaseConnection;
        if (pending == null) {
            context.close();
            return;
        }
        if (nettyResponse.decoderResult().isFailure()) {
            failAndClose(
                    context.channel(),
                    "the response is not valid HTTP",
                    nettyResponse.decoderResult().cause());
            return;
        }
        if (nettyResponse.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            interimResponses++;
            if (interimResponses > MAX_INTERIM_RESPONSES) {
                failAndClose(context.channel(), "more than " + MAX_INTERIM_RESPONSES + " interim responses", null);
            }
            return;
        }
        byte[] body = new byte[nettyResponse.content().readableBytes()];
        nettyResponse.content().readBytes(body);
        HttpResponse response = new HttpResponse(
                nettyResponse.status().code(), HeaderConverter.fromNetty(nettyResponse.headers()), body);
        if (!options.responseMatcher().matches(request, response)) {
            failAndClose(context.channel(), "the response does not belong to the request", null);
            return;
        }
        responseTimeout.cancel(false);
        pendingResponse = null;
        releaseConnection = null;
        if (options.responseMatcher().isRefusal(response)) {
            options.responseMatcher().requestId(request).ifPresent(refusedRequestIds::add);
        }
        // The server may respond before it has read the whole request body. It would then read the rest of that body
        // as the start of the next request, so the connection cannot be reused.
        if (HttpUtil.isKeepAlive(nettyResponse)
                && requestWritten.isSuccess()
                && refusedRequestIds.size() < MAX_REFUSED_REQUESTS
                && options.responseMatcher().isConnectionReusable(response)) {
            idleTimeout = context.executor()
                    .schedule(() -> closeIfIdle(context), options.idleTimeoutMs(), TimeUnit.MILLISECONDS);
            release.run();
        } else {
            context.close();
        }
        pending.complete(response);
    }

    private void closeIfIdle(ChannelHandlerContext context) {
        if (pendingResponse == null) {
            context.close();
        }
    }

    private void failAndClose(Channel channel, String message, Throwable cause) {
        CompletableFuture<HttpResponse> pending = pendingResponse;
        pendingResponse = null;
        channel.close();
        if (pending != null) {
            responseTimeout.cancel(false);
            pending.completeExceptionally(new HttpClientException(Stage.SENT, message, cause));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        failAndClose(context.channel(), "connection closed before the response", null);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failAndClose(context.channel(), "connection failed: " + cause.getMessage(), cause);
    }
}
