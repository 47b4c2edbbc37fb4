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

/**
 * One connection of {@link HttpServer}. Confined to its event loop.
 *
 * <p>Invariant: answers are written in the order of the requests. Pipelined requests are handled at the same time, up to
 * a limit beyond which reading pauses. Only the last request taken can end the connection, so no request that was handed
 * to the handler is left without its answer; what follows is not read.
 */
final class ServerConnectionHandler extends SimpleChannelInboundHandler<HttpObject> {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_BODY_TOO_LARGE = 413;
    private static final int STATUS_HEADER_TOO_LARGE = 431;
    private static final int STATUS_INTERNAL = 500;
    private static final long CLOSE_WAIT_MS = 1_000;

    /** Requests of one connection that are handled at the same time. */
    private static final int MAX_PIPELINED = 16;

    /** A request that was handed to the handler and has no written answer. */
    private static final class Exchange {
        private final CompletableFuture<Void> closed = new CompletableFuture<>();
        private final boolean callerKeepsAlive;
        private final boolean headOnly;
        private HttpResponse reply;
        private Throwable failure;

        private Exchange(boolean callerKeepsAlive, boolean headOnly) {
            this.callerKeepsAlive = callerKeepsAlive;
            this.headOnly = headOnly;
        }

        private boolean isAnswered() {
            return reply != null || failure != null;
        }
    }

    private final HttpServerOptions options;
    private final HttpHandler handler;
    private final AtomicInteger openCalls;
    private io.netty.handler.codec.http.HttpRequest head;
    private ByteArrayOutputStream body;
    private boolean stopped;
    private final Deque<Exchange> exchanges = new ArrayDeque<>();
    private final Deque<HttpObject> unread = new ArrayDeque<>();

    ServerConnectionHandler(HttpServerOptions options, HttpHandler handler, AtomicInteger openCalls) {
        this.options = options;
        this.handler = handler;
        this.openCalls = openCalls;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (!unread.isEmpty() || mustWait()) {
            unread.add(ReferenceCountUtil.retain(part));
            context.channel().config().setAutoRead(false);
            return;
        }
        handle(context, part);
    }

    /** Whether a request that starts now has to wait for earlier ones. */
    private boolean mustWait() {
        return head == null && exchanges.size() >= MAX_PIPELINED;
    }

    private void handle(ChannelHandlerContext context, HttpObject part) {
        if (stopped) {
            return;
        }
        if (part.decoderResult().isFailure()) {
            reject(context, statusOf(part.decoderResult().cause()));
            return;
        }
        if (part instanceof io.netty.handler.codec.http.HttpRequest request) {
            begin(context, request);
        }
        if (part instanceof HttpContent content && !stopped) {
            append(context, content);
        }
    }

    private void begin(ChannelHandlerContext context, io.netty.handler.codec.http.HttpRequest request) {
        head = request;
        body = new ByteArrayOutputStream();
        if (HttpUtil.getContentLength(request, 0L) > options.maxBodyBytes()) {
            reject(context, STATUS_BODY_TOO_LARGE);
        } else if (HttpUtil.is100ContinueExpected(request) && exchanges.isEmpty()) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void append(ChannelHandlerContext context, HttpContent content) {
        int length = content.content().readableBytes();
        if (body.size() + length > options.maxBodyBytes()) {
            reject(context, STATUS_BODY_TOO_LARGE);
            return;
        }
        try {
            content.content().readBytes(body, length);
        } catch (IOException e) {
            throw new IllegalStateException("in-memory stream failed", e);
        }
        if (content instanceof LastHttpContent) {
            dispatch(context);
        }
    }

    private void dispatch(ChannelHandlerContext context) {
        Exchange exchange = new Exchange(
                HttpUtil.isKeepAlive(head), "HEAD".equals(head.method().name()));
        HttpRequest call = new HttpRequest(
                head.method().name(), head.uri(), HttpHeadersSupport.fromNetty(head.headers()), body.toByteArray());
        head = null;
        body = null;
        stopped = !exchange.callerKeepsAlive;
        exchanges.add(exchange);
        openCalls.incrementAndGet();
        handleSafely(call, exchange.closed)
                .whenComplete((reply, failure) -> context.executor().execute(() -> {
                    exchange.reply = reply;
                    exchange.failure = failure;
                    writeAnswered(context);
                }));
    }

    /** Writes the answers that no unanswered request precedes. */
    private void writeAnswered(ChannelHandlerContext context) {
        while (!exchanges.isEmpty() && exchanges.peekFirst().isAnswered()) {
            Exchange exchange = exchanges.pollFirst();
            finish(context, exchange).addListener(done -> openCalls.decrementAndGet());
        }
        resume(context);
    }

    private ChannelFuture finish(ChannelHandlerContext context, Exchange exchange) {
        if (exchange.failure != null && unwrap(exchange.failure) instanceof HttpAbortException abort) {
            return abort(context, abort);
        }
        HttpResponse reply = replyOrError(exchange.reply, exchange.failure);
        boolean last = exchanges.isEmpty();
        boolean keepAlive = !last || (exchange.callerKeepsAlive && !reply.asksForClose());
        return write(context, reply, keepAlive, exchange.headOnly);
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }

    /** The rest of a cut answer is missing, so the announced content length exceeds what is written. */
    private ChannelFuture abort(ChannelHandlerContext context, HttpAbortException abort) {
        stopped = true;
        if (abort.truncatedResponse().isEmpty()) {
            return context.close();
        }
        HttpResponse reply = abort.truncatedResponse().get();
        DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status()));
        HttpHeadersSupport.toNetty(reply.headers(), response.headers());
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length + 1);
        context.write(response);
        return context.writeAndFlush(new DefaultHttpContent(
                        Unpooled.wrappedBuffer(Arrays.copyOf(reply.body(), reply.body().length / 2))))
                .addListener(ChannelFutureListener.CLOSE);
    }

    private CompletableFuture<HttpResponse> handleSafely(HttpRequest call, CompletableFuture<Void> closed) {
        try {
            return handler.handle(call, closed);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static HttpResponse replyOrError(HttpResponse reply, Throwable failure) {
        if (failure == null) {
            return reply;
        }
        logger.atSevere().withCause(failure).log("event=http-handler-failed");
        return HttpResponse.text(STATUS_INTERNAL, "internal error\n");
    }

    private ChannelFuture write(ChannelHandlerContext context, HttpResponse reply, boolean keepAlive, boolean headOnly) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(reply.status()),
                headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(reply.body()));
        HttpHeadersSupport.toNetty(reply.headers(), response.headers());
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
        HttpUtil.setKeepAlive(response, keepAlive);
        ChannelFuture written = context.writeAndFlush(response);
        if (!keepAlive) {
            // A request that follows on a closing connection could run without its answer ever being written.
            stopped = true;
            written.addListener(done -> closeAfterCaller(context));
        }
        return written;
    }

    /**
     * Ends the output and discards further input until the caller closes, for a bounded time. Closing at once with
     * unread input resets the connection, which can destroy the answer before the caller reads it.
     */
    private static void closeAfterCaller(ChannelHandlerContext context) {
        if (context.channel() instanceof SocketChannel channel && channel.isActive()) {
            channel.config().setAutoRead(true);
            channel.shutdownOutput();
            context.executor().schedule(() -> context.close(), CLOSE_WAIT_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void resume(ChannelHandlerContext context) {
        while (!unread.isEmpty() && !mustWait()) {
            HttpObject part = unread.poll();
            try {
                handle(context, part);
            } finally {
                ReferenceCountUtil.release(part);
            }
        }
        if (unread.isEmpty()) {
            context.channel().config().setAutoRead(true);
        }
    }

    /** Answers a request that cannot be handled, after those before it, and ends the connection. */
    private void reject(ChannelHandlerContext context, int status) {
        stopped = true;
        head = null;
        Exchange exchange = new Exchange(false, false);
        exchange.reply = options.rejectionResponse().apply(status);
        exchanges.add(exchange);
        openCalls.incrementAndGet();
        writeAnswered(context);
    }

    private static int statusOf(Throwable cause) {
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        return tooLong ? STATUS_HEADER_TOO_LARGE : STATUS_BAD_REQUEST;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        unread.forEach(ReferenceCountUtil::release);
        unread.clear();
        stopped = true;
        exchanges.forEach(exchange -> exchange.closed.complete(null));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        logger.atFine().withCause(cause).log("event=http-connection-failed");
        context.close();
    }
}
