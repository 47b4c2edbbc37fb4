package org.coriandercrank.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.http.HttpClientException.Stage;
import org.coriandercrank.kernel.id.HostAddress;

/**
 * A client of one HTTP/1.1 server with a bounded pool of keep-alive connections; one call at a time on each.
 *
 * <p>Thread safe. The most recently used connection is used first. A call is written to at most one connection and is
 * never repeated by this class. Futures fail with {@link HttpClientException}; cancelling one closes the connection of its
 * call, which tells the server to stop.
 */
public final class HttpClient implements AutoCloseable {
    private record Waiting(HttpRequest call, long deadlineNanos, CompletableFuture<HttpResponse> result) {}

    private final HostAddress target;
    private final HttpClientOptions options;
    private final Bootstrap bootstrap;

    /** Guards the fields below. */
    private final Object lock = new Object();

    private final Deque<Channel> idle = new ArrayDeque<>();
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private int open;
    private boolean closed;

    /** The group stays the property of the creator. */
    public HttpClient(EventLoopGroup group, HostAddress target, HttpClientOptions options) {
        this.target = target;
        this.options = options;
        this.bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, options.connectTimeoutMs())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec())
                                .addLast(new HttpObjectAggregator(options.maxBodyBytes()))
                                .addLast(new ClientConnectionHandler(options));
                    }
                });
    }

    /** Sends a call; fails after {@code timeoutMs}, also while it waits for a connection. */
    public CompletableFuture<HttpResponse> send(HttpRequest call, long timeoutMs) {
        Waiting entry = new Waiting(
                call, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs), new CompletableFuture<>());
        Channel channel = null;
        boolean connect = false;
        synchronized (lock) {
            if (closed) {
                return failed("client is closed");
            }
            channel = pollActive();
            if (channel == null && open < options.maxConnections()) {
                open++;
                connect = true;
            } else if (channel == null) {
                if (waiting.size() >= options.maxQueuedRequests()) {
                    return failed("too many calls wait for a connection to " + target);
                }
                waiting.add(entry);
            }
        }
        if (channel != null) {
            sendOn(channel, entry);
        } else if (connect) {
            connect(entry);
        } else {
            scheduleWaitTimeout(entry, timeoutMs);
        }
        return entry.result;
    }

    /** Opens connections until {@code count} are open or being opened, within the limit of the pool. */
    public void warmUp(int count) {
        int missing;
        synchronized (lock) {
            missing = closed ? 0 : Math.max(0, Math.min(count, options.maxConnections()) - open);
            open += missing;
        }
        for (int i = 0; i < missing; i++) {
            bootstrap.connect(target.ip(), target.port()).addListener((io.netty.channel.ChannelFutureListener)
                    future -> {
                        if (future.isSuccess()) {
                            future.channel().closeFuture().addListener(done -> connectionClosed());
                            release(future.channel());
                        } else {
                            connectionClosed();
                        }
                    });
        }
    }

    public int openConnections() {
        synchronized (lock) {
            return open;
        }
    }

    private Channel pollActive() {
        Channel channel = idle.pollFirst();
        while (channel != null && !channel.isActive()) {
            channel = idle.pollFirst();
        }
        return channel;
    }

    private void scheduleWaitTimeout(Waiting entry, long timeoutMs) {
        bootstrap.config().group().next().schedule(() -> expire(entry), timeoutMs, TimeUnit.MILLISECONDS);
    }

    private void expire(Waiting entry) {
        boolean removed;
        synchronized (lock) {
            removed = waiting.remove(entry);
        }
        if (removed) {
            entry.result.completeExceptionally(notSent("no connection to " + target + " became free", null));
        }
    }

    private void connect(Waiting entry) {
        bootstrap.connect(target.ip(), target.port()).addListener((io.netty.channel.ChannelFutureListener) future -> {
            if (!future.isSuccess()) {
                connectionClosed();
                entry.result.completeExceptionally(notConnected(future.cause()));
                return;
            }
            Channel channel = future.channel();
            channel.closeFuture().addListener(done -> connectionClosed());
            sendOn(channel, entry);
        });
    }

    private void sendOn(Channel channel, Waiting entry) {
        if (entry.result.isDone()) {
            release(channel);
            return;
        }
        long remainingMs = TimeUnit.NANOSECONDS.toMillis(entry.deadlineNanos - System.nanoTime());
        if (remainingMs <= 0) {
            release(channel);
            entry.result.completeExceptionally(notSent("deadline passed before sending to " + target, null));
            return;
        }
        ClientConnectionHandler handler = channel.pipeline().get(ClientConnectionHandler.class);
        if (handler == null) {
            entry.result.completeExceptionally(notSent("connection to " + target + " was closed", null));
            return;
        }
        channel.eventLoop()
                .execute(() ->
                        handler.send(channel, target, entry.call, remainingMs, entry.result, () -> release(channel)));
    }

    /** Hands a free connection to the next waiting call or to the pool. */
    private void release(Channel channel) {
        Waiting next;
        synchronized (lock) {
            if (!channel.isActive()) {
                return;
            }
            next = waiting.pollFirst();
            if (next == null && !closed) {
                idle.addFirst(channel);
            }
        }
        if (next != null) {
            sendOn(channel, next);
        } else if (closed) {
            channel.close();
        }
    }

    private void connectionClosed() {
        Waiting next;
        synchronized (lock) {
            open--;
            next = waiting.pollFirst();
            if (next != null) {
                open++;
            }
        }
        if (next != null) {
            connect(next);
        }
    }

    private static CompletableFuture<HttpResponse> failed(String message) {
        return CompletableFuture.failedFuture(notSent(message, null));
    }

    private HttpClientException notConnected(Throwable cause) {
        boolean refused = cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
        return new HttpClientException(refused ? Stage.CONNECTION_REFUSED : Stage.NOT_SENT, "cannot connect to " + target, cause);
    }

    private static HttpClientException notSent(String message, Throwable cause) {
        return new HttpClientException(Stage.NOT_SENT, message, cause);
    }

    /** Closes idle connections now and the others after their call; waiting calls fail. */
    @Override
    public void close() {
        Deque<Channel> toClose;
        Deque<Waiting> toFail;
        synchronized (lock) {
            closed = true;
            toClose = new ArrayDeque<>(idle);
            toFail = new ArrayDeque<>(waiting);
            idle.clear();
            waiting.clear();
        }
        toClose.forEach(Channel::close);
        toFail.forEach(entry -> entry.result.completeExceptionally(notSent("client is closed", null)));
    }
}
