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
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.http.HttpClientException.Stage;
import org.coriandercrank.kernel.id.HostAddress;

/**
 * One connection of {@link HttpClient}. Confined to its event loop; has at most one outstanding call. A call that
 * times out closes the connection, so that its late answer is never taken for that of another call.
 */
final class ClientConnectionHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final HttpClientOptions options;
    private HttpRequest call;
    private ChannelFuture written;
    private CompletableFuture<HttpResponse> outstanding;
    private Runnable release;
    private ScheduledFuture<?> timeout;
    private ScheduledFuture<?> idleClose;

    ClientConnectionHandler(HttpClientOptions options) {
        this.options = options;
    }

    void send(
            Channel channel,
            HostAddress target,
            HttpRequest newCall,
            long timeoutMs,
            CompletableFuture<HttpResponse> result,
            Runnable whenFree) {
        if (idleClose != null) {
            idleClose.cancel(false);
            idleClose = null;
        }
        if (!channel.isActive()) {
            result.completeExceptionally(
                    new HttpClientException(Stage.NOT_SENT, "connection to " + target + " was closed", null));
            return;
        }
        FullHttpRequest request;
        try {
            request = request(target, newCall);
        } catch (IllegalArgumentException e) {
            whenFree.run();
            result.completeExceptionally(new HttpClientException(Stage.NOT_SENT, "call is not valid HTTP", e));
            return;
        }
        call = newCall;
        outstanding = result;
        release = whenFree;
        timeout = channel.eventLoop()
                .schedule(
                        () -> failAndClose(channel, "no answer from " + target + " within " + timeoutMs + " ms", null),
                        timeoutMs,
                        TimeUnit.MILLISECONDS);
        written = channel.writeAndFlush(request);
        result.whenComplete((reply, failure) -> {
            if (result.isCancelled()) {
                channel.eventLoop().execute(() -> closeIfOutstanding(channel, result));
            }
        });
    }

    private void closeIfOutstanding(Channel channel, CompletableFuture<HttpResponse> cancelled) {
        if (outstanding == cancelled) {
            failAndClose(channel, "call was cancelled", null);
        }
    }

    private static FullHttpRequest request(HostAddress target, HttpRequest call) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(call.method()),
                call.target(),
                Unpooled.wrappedBuffer(call.body()));
        HttpHeadersSupport.toNetty(call.headers(), request.headers());
        request.headers()
                .set(HttpHeaderNames.HOST, call.header(HttpHeadersSupport.HOST).orElse(target.toString()));
        if (call.body().length > 0 || !("GET".equals(call.method()) || "HEAD".equals(call.method()))) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
        }
        return request;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
        CompletableFuture<HttpResponse> result = outstanding;
        Runnable whenFree = release;
        if (result == null) {
            context.close();
            return;
        }
        if (response.decoderResult().isFailure()) {
            failAndClose(
                    context.channel(),
                    "the answer is not valid HTTP",
                    response.decoderResult().cause());
            return;
        }
        byte[] body = new byte[response.content().readableBytes()];
        response.content().readBytes(body);
        HttpResponse reply =
                new HttpResponse(response.status().code(), HttpHeadersSupport.fromNetty(response.headers()), body);
        if (!options.responseMatcher().matches(call, reply)) {
            failAndClose(context.channel(), "the answer does not belong to the call", null);
            return;
        }
        timeout.cancel(false);
        outstanding = null;
        release = null;
        // The server may answer before it has read the whole body; what follows on the connection would be misread.
        if (HttpUtil.isKeepAlive(response) && written.isSuccess()) {
            idleClose = context.executor()
                    .schedule(() -> closeIfIdle(context), options.idleTimeoutMs(), TimeUnit.MILLISECONDS);
            whenFree.run();
        } else {
            context.close();
        }
        result.complete(reply);
    }

    private void closeIfIdle(ChannelHandlerContext context) {
        if (outstanding == null) {
            context.close();
        }
    }

    private void failAndClose(Channel channel, String message, Throwable cause) {
        CompletableFuture<HttpResponse> result = outstanding;
        outstanding = null;
        channel.close();
        if (result != null) {
            timeout.cancel(false);
            result.completeExceptionally(new HttpClientException(Stage.SENT, message, cause));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        failAndClose(context.channel(), "connection closed before the answer", null);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failAndClose(context.channel(), "connection failed: " + cause.getMessage(), cause);
    }
}
