package org.coriandercrank.http;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/**
 * One connection of {@link HttpServer}. Confined to the event loop of its channel.
 *
 * <p>Responses are written in the order of the requests. Pipelined requests are handled concurrently up to a limit.
 * Beyond it a bounded amount of input waits, and then reading pauses. The connection is closed only after the response
 * to the last request that was passed to the handler, so that each such request gets its response. Input after that
 * request is discarded.
 *
 * <p>A request is passed to the handler only after all input that has arrived is read. A client that gave up while the
 * event loop was busy is then known to have closed its connection.
 */
final class ServerConnectionHandler extends SimpleChannelInboundHandler<HttpObject> {
    /** User event that closes the connection after the responses to the requests that the handler got. */
    static final Object CLOSE = new Object();

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_BODY_TOO_LARGE = 413;
    private static final int STATUS_HEADER_TOO_LARGE = 431;
    private static final int STATUS_INTERNAL_ERROR = 500;
    private static final int STATUS_BAD_GATEWAY = 502;
    private static final int LOG_INTERVAL_S = 1;

    /** Time after which the server closes a connection whose output it has shut down. */
    private static final long CLIENT_CLOSE_TIMEOUT_MS = 1_000;

    /** Largest number of requests of one connection that are handled concurrently. */
    private static final int MAX_PIPELINED_REQUESTS = 16;

    /** Input that may wait for earlier responses. Up to it the connection is read, so that its end is seen. */
    private static final int MAX_DEFERRED_MESSAGES = 128;

    /** A request whose response has not been written yet. */
    private static final class Exchange {
        private final CompletableFuture<Void> connectionClosed = new CompletableFuture<>();
        private final long decodedAtNanos = System.nanoTime();
        private final boolean clientKeepsAlive;
        private final boolean headOnly;
        private HttpResponse response;
        private Throwable failure;

        private Exchange(boolean clientKeepsAlive, boolean headOnly) {
            this.clientKeepsAlive = clientKeepsAlive;
            this.headOnly = headOnly;
        }

        private boolean hasResult() {
            return response != null || failure != null;
        }
    }

    private final HttpServerOptions options;
    private final HttpHandler handler;
    private final AtomicInteger pendingResponses;
    private final LongAdder abandonedRequests;
    private io.netty.handler.codec.http.HttpRequest requestHead;
    private ByteArrayOutputStream requestBody;
    private boolean discardsInput;
    private boolean closing;

    /** The write of the latest response; null before the first. */
    private ChannelFuture latestWrite;

    /** Requests without a written response, in the order of their arrival. */
    private final Deque<Exchange> exchanges = new ArrayDeque<>();

    /** Input that was decoded while the pipeline limit was reached. */
    private final Deque<HttpObject> deferredInput = new ArrayDeque<>();

    /**
     * @param pendingResponses counter of all requests of the server whose response is not written yet
     * @param abandonedRequests counter of all requests that were dropped because their client had closed the connection
     */
    ServerConnectionHandler(
            HttpServerOptions options,
            HttpHandler handler,
            AtomicInteger pendingResponses,
            LongAdder abandonedRequests) {
        this.options = options;
        this.handler = handler;
        this.pendingResponses = pendingResponses;
        this.abandonedRequests = abandonedRequests;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (!deferredInput.isEmpty() || isAtPipelineLimit()) {
            deferredInput.add(ReferenceCountUtil.retain(message));
            if (deferredInput.size() >= MAX_DEFERRED_MESSAGES) {
                context.channel().config().setAutoRead(false);
            }
            return;
        }
        process(context, message);
    }

    /** Whether a request that starts now must wait until an earlier response is written. */
    private boolean isAtPipelineLimit() {
        return requestHead == null && exchanges.size() >= MAX_PIPELINED_REQUESTS;
    }

    private void process(ChannelHandlerContext context, HttpObject message) {
        if (discardsInput) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            reject(context, rejectionStatus(message.decoderResult().cause()));
            return;
        }
        if (message instanceof io.netty.handler.codec.http.HttpRequest request) {
            beginRequest(context, request);
        }
        if (message instanceof HttpContent content && !discardsInput) {
            appendBody(context, content);
        }
    }

    private void beginRequest(ChannelHandlerContext context, io.netty.handler.codec.http.HttpRequest request) {
        requestHead = request;
        requestBody = new ByteArrayOutputStream();
        if (HttpUtil.getContentLength(request, 0L) > options.maxBodyBytes()) {
            reject(context, STATUS_BODY_TOO_LARGE);
        } else if (HttpUtil.is100ContinueExpected(request) && exchanges.isEmpty()) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void appendBody(ChannelHandlerContext context, HttpContent content) {
        int length = content.content().readableBytes();
        if (requestBody.size() + length > options.maxBodyBytes()) {
            reject(context, STATUS_BODY_TOO_LARGE);
            return;
        }
        try {
            content.content().readBytes(requestBody, length);
        } catch (IOException e) {
            throw new IllegalStateException("in-memory stream failed", e);
        }
        if (content instanceof LastHttpContent) {
            dispatch(context);
        }
    }

    private void dispatch(ChannelHandlerContext context) {
        Exchange exchange = new Exchange(
                HttpUtil.isKeepAlive(requestHead),
                "HEAD".equals(requestHead.method().name()));
        HttpRequest request = new HttpRequest(
                requestHead.method().name(),
                requestHead.uri(),
                HeaderConverter.fromNetty(requestHead.headers()),
                requestBody.toByteArray());
        requestHead = null;
        requestBody = null;
        discardsInput = !exchange.clientKeepsAlive;
        exchanges.add(exchange);
        pendingResponses.incrementAndGet();
        context.executor().execute(() -> handle(context, exchange, request));
    }

    private void handle(ChannelHandlerContext context, Exchange exchange, HttpRequest request) {
        if (!context.channel().isActive() && !handler.handlesAbandonedRequests()) {
            exchanges.remove(exchange);
            pendingResponses.decrementAndGet();
            abandonedRequests.increment();
            return;
        }
        invokeHandler(request, exchange)
                .whenComplete((response, failure) -> context.executor().execute(() -> {
                    exchange.response = response;
                    exchange.failure = failure;
                    writeReadyResponses(context);
                }));
    }

    /** Writes the available responses up to the first request that has none yet. */
    private void writeReadyResponses(ChannelHandlerContext context) {
        while (!exchanges.isEmpty() && exchanges.peekFirst().hasResult()) {
            Exchange exchange = exchanges.pollFirst();
            latestWrite = writeResponse(context, exchange).addListener(done -> pendingResponses.decrementAndGet());
        }
        processDeferredInput(context);
    }

    private ChannelFuture writeResponse(ChannelHandlerContext context, Exchange exchange) {
        if (exchange.failure != null
                && unwrapCompletionException(exchange.failure) instanceof HttpAbortException abort) {
            return abortConnection(context, abort);
        }
        HttpResponse response = requireFinalStatus(responseOrInternalError(exchange.response, exchange.failure));
        boolean last = exchanges.isEmpty();
        boolean keepAlive = !last || (exchange.clientKeepsAlive && !response.closesConnection() && !closing);
        return writeFullResponse(context, response, keepAlive, exchange.headOnly);
    }

    private static Throwable unwrapCompletionException(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }

    /**
     * Closes the connection, after a part of the response if the exception has one. The announced content length then
     * exceeds the bytes written, so that the client can see that the response is truncated.
     */
    private ChannelFuture abortConnection(ChannelHandlerContext context, HttpAbortException abort) {
        discardsInput = true;
        if (abort.truncatedResponse().isEmpty()) {
            return context.close();
        }
        HttpResponse response = requireFinalStatus(abort.truncatedResponse().get());
        DefaultHttpResponse nettyResponse =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(response.status()));
        HeaderConverter.toNetty(response.headers(), nettyResponse.headers());
        nettyResponse.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length + 1);
        context.write(nettyResponse);
        return context.writeAndFlush(new DefaultHttpContent(
                        Unpooled.wrappedBuffer(Arrays.copyOf(response.body(), response.body().length / 2))))
                .addListener(ChannelFutureListener.CLOSE);
    }

    private CompletableFuture<HttpResponse> invokeHandler(HttpRequest request, Exchange exchange) {
        try {
            return handler.handle(request, exchange.connectionClosed, System.nanoTime() - exchange.decodedAtNanos);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static HttpResponse responseOrInternalError(HttpResponse response, Throwable failure) {
        if (failure == null) {
            return response;
        }
        logger.atSevere().withCause(failure).log("event=http-handler-failed");
        return HttpResponse.text(STATUS_INTERNAL_ERROR, "internal error\n");
    }

    /**
     * Replaces a response whose status is not that of a final response. The request may have been executed, so the
     * replacement has the status of an unknown outcome and none of the headers, which may state something else.
     */
    private static HttpResponse requireFinalStatus(HttpResponse response) {
        if (response.hasFinalStatus()) {
            return response;
        }
        logger.atSevere().atMostEvery(LOG_INTERVAL_S, TimeUnit.SECONDS).log(
                "event=http-status-invalid status=%d", response.status());
        return HttpResponse.text(STATUS_BAD_GATEWAY, "invalid status of the response\n");
    }

    private ChannelFuture writeFullResponse(
            ChannelHandlerContext context, HttpResponse response, boolean keepAlive, boolean headOnly) {
        FullHttpResponse nettyResponse = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status()),
                headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(response.body()));
        HeaderConverter.toNetty(response.headers(), nettyResponse.headers());
        nettyResponse.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
        HttpUtil.setKeepAlive(nettyResponse, keepAlive);
        ChannelFuture written = context.writeAndFlush(nettyResponse);
        if (!keepAlive) {
            // The handler must not run later requests of this connection, because their responses cannot be written.
            discardsInput = true;
            written.addListener(done -> closeAfterClient(context));
        }
        return written;
    }

    /**
     * Shuts down the output and discards further input until the client closes the connection or a timeout passes.
     * Closing immediately with unread input would reset the connection, and the reset can discard the response before
     * the client has read it.
     */
    private static void closeAfterClient(ChannelHandlerContext context) {
        if (context.channel() instanceof SocketChannel channel && channel.isActive()) {
            channel.config().setAutoRead(true);
            channel.shutdownOutput();
            context.executor().schedule(() -> context.close(), CLIENT_CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void processDeferredInput(ChannelHandlerContext context) {
        while (!deferredInput.isEmpty() && !isAtPipelineLimit()) {
            HttpObject message = deferredInput.poll();
            try {
                process(context, message);
            } finally {
                ReferenceCountUtil.release(message);
            }
        }
        if (deferredInput.size() < MAX_DEFERRED_MESSAGES) {
            context.channel().config().setAutoRead(true);
        }
    }

    /** Responds to a request that cannot be handled, after the earlier responses, and closes the connection. */
    private void reject(ChannelHandlerContext context, int status) {
        discardsInput = true;
        requestHead = null;
        Exchange exchange = new Exchange(false, false);
        exchange.response = options.rejectionResponse().apply(status);
        exchanges.add(exchange);
        pendingResponses.incrementAndGet();
        writeReadyResponses(context);
    }

    private static int rejectionStatus(Throwable cause) {
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        return tooLong ? STATUS_HEADER_TOO_LARGE : STATUS_BAD_REQUEST;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event != CLOSE) {
            context.fireUserEventTriggered(event);
            return;
        }
        closing = true;
        discardsInput = true;
        if (exchanges.isEmpty() && latestWrite != null) {
            latestWrite.addListener(ChannelFutureListener.CLOSE);
        } else if (exchanges.isEmpty()) {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        deferredInput.forEach(ReferenceCountUtil::release);
        deferredInput.clear();
        discardsInput = true;
        exchanges.forEach(exchange -> exchange.connectionClosed.complete(null));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        logger.atFine().withCause(cause).log("event=http-connection-failed");
        context.close();
    }
}
