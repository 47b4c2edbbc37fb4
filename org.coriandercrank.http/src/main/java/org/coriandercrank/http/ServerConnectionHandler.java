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
import io.netty.handler.codec.http.HttpRequest;
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
 * One connection of {@link HttpServer}. Confined to its event loop. Requests are handled one at a time, which keeps
 * answers in order. While one is handled, reading goes on so that a close by the caller is noticed; it pauses when a
 * pipelined request arrives, which bounds memory.
 */
final class ServerConnectionHandler extends SimpleChannelInboundHandler<HttpObject> {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_BODY_TOO_LARGE = 413;
    private static final int STATUS_HEADER_TOO_LARGE = 431;
    private static final int STATUS_INTERNAL = 500;
    private static final long CLOSE_WAIT_MS = 1_000;

    private final HttpServerOptions options;
    private final HttpHandler handler;
    private final AtomicInteger openCalls;

    private HttpRequest head;
    private ByteArrayOutputStream body;
    private CompletableFuture<Void> closed;
    private boolean rejected;
    private final Deque<HttpObject> pipelined = new ArrayDeque<>();

    ServerConnectionHandler(HttpServerOptions options, HttpHandler handler, AtomicInteger openCalls) {
        this.options = options;
        this.handler = handler;
        this.openCalls = openCalls;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (closed != null) {
            pipelined.add(ReferenceCountUtil.retain(part));
            context.channel().config().setAutoRead(false);
            return;
        }
        handle(context, part);
    }

    private void handle(ChannelHandlerContext context, HttpObject part) {
        if (rejected) {
            return;
        }
        if (part.decoderResult().isFailure()) {
            reject(context, statusOf(part.decoderResult().cause()));
            return;
        }
        if (part instanceof HttpRequest request) {
            begin(context, request);
        }
        if (part instanceof HttpContent content && !rejected) {
            append(context, content);
        }
    }

    private void begin(ChannelHandlerContext context, HttpRequest request) {
        head = request;
        body = new ByteArrayOutputStream();
        if (HttpUtil.getContentLength(request, 0L) > options.maxBodyBytes()) {
            reject(context, STATUS_BODY_TOO_LARGE);
        } else if (HttpUtil.is100ContinueExpected(request)) {
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
        boolean keepAlive = HttpUtil.isKeepAlive(head);
        boolean headOnly = "HEAD".equals(head.method().name());
        HttpCall call = new HttpCall(
                head.method().name(), head.uri(), HttpHeadersSupport.fromNetty(head.headers()), body.toByteArray());
        closed = new CompletableFuture<>();
        openCalls.incrementAndGet();
        handleSafely(call)
                .whenComplete((reply, failure) -> context.executor()
                        .execute(() -> finish(context, reply, failure, keepAlive, headOnly)
                                .addListener(done -> openCalls.decrementAndGet())));
    }

    private ChannelFuture finish(
            ChannelHandlerContext context, HttpReply reply, Throwable failure, boolean keepAlive, boolean headOnly) {
        if (failure != null && unwrap(failure) instanceof HttpAbortException abort) {
            closed = null;
            return abort(context, abort);
        }
        return write(context, replyOrError(reply, failure), keepAlive, headOnly);
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }

    /** The rest of a cut answer is missing, so the announced content length exceeds what is written. */
    private ChannelFuture abort(ChannelHandlerContext context, HttpAbortException abort) {
        rejected = true;
        if (abort.cutReply().isEmpty()) {
            return context.close();
        }
        HttpReply reply = abort.cutReply().get();
        DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status()));
        HttpHeadersSupport.toNetty(reply.headers(), response.headers());
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length + 1);
        context.write(response);
        return context.writeAndFlush(new DefaultHttpContent(
                        Unpooled.wrappedBuffer(Arrays.copyOf(reply.body(), reply.body().length / 2))))
                .addListener(ChannelFutureListener.CLOSE);
    }

    private CompletableFuture<HttpReply> handleSafely(HttpCall call) {
        try {
            return handler.handle(call, closed);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static HttpReply replyOrError(HttpReply reply, Throwable failure) {
        if (failure == null) {
            return reply;
        }
        logger.atSevere().withCause(failure).log("event=http-handler-failed");
        return HttpReply.text(STATUS_INTERNAL, "internal error\n");
    }

    private ChannelFuture write(
            ChannelHandlerContext context, HttpReply reply, boolean callerKeepAlive, boolean headOnly) {
        closed = null;
        boolean keepAlive = callerKeepAlive && !reply.asksForClose();
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(reply.status()),
                headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(reply.body()));
        HttpHeadersSupport.toNetty(reply.headers(), response.headers());
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
        HttpUtil.setKeepAlive(response, keepAlive);
        ChannelFuture written = context.writeAndFlush(response);
        if (keepAlive) {
            resume(context);
        } else {
            // A request that follows on a closing connection could run without its answer ever being written.
            rejected = true;
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
        while (closed == null && !pipelined.isEmpty()) {
            HttpObject part = pipelined.poll();
            try {
                handle(context, part);
            } finally {
                ReferenceCountUtil.release(part);
            }
        }
        if (pipelined.isEmpty()) {
            context.channel().config().setAutoRead(true);
        }
    }

    private void reject(ChannelHandlerContext context, int status) {
        rejected = true;
        write(context, options.rejection().apply(status), false, false);
    }

    private static int statusOf(Throwable cause) {
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        return tooLong ? STATUS_HEADER_TOO_LARGE : STATUS_BAD_REQUEST;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
        if (closed != null) {
            closed.complete(null);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        logger.atFine().withCause(cause).log("event=http-connection-failed");
        context.close();
    }
}
