package org.coriandercrank.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.coriandercrank.http.HttpClientException.Stage;
import org.coriandercrank.kernel.id.HostAddress;

/**
 * A client of one HTTP/1.1 server with a bounded pool of keep-alive connections. Each connection carries one request at
 * a time.
 *
 * <p>Thread safe. The pool hands out the most recently used idle connection first. A request is written to at most one
 * connection and never retried by this class. Futures fail with {@link HttpClientException}. Cancelling a future closes
 * the connection of its request, from which the server can see that the response is no longer wanted, or drops the
 * request if it still waits for a connection.
 */
public final class HttpClient implements AutoCloseable {
    private record QueuedRequest(HttpRequest request, long deadlineNanos, CompletableFuture<HttpResponse> result) {}

    /** Limit on the unfinished responses of all connections together, unless a single body may be larger. */
    private static final long MIN_UNFINISHED_BYTES_LIMIT = 8_388_608;

    private final AtomicLong unfinishedBytes = new AtomicLong();
    private final HostAddress target;
    private final HttpClientOptions options;
    private final Bootstrap bootstrap;

    /** Guards the mutable fields below. */
    private final Object lock = new Object();

    private final Deque<Channel> idleConnections = new ArrayDeque<>();
    private final Deque<QueuedRequest> queue = new ArrayDeque<>();

    /** Connections that are open or being opened. */
    private int openConnections;

    private boolean closed;

    /** Creates a client without connections. The event loop group is not closed with the client. */
    public HttpClient(EventLoopGroup group, HostAddress target, HttpClientOptions options) {
        this.target = target;
        this.options = options;
        RejectedResponses rejectedResponses = new RejectedResponses(target);
        this.bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, options.connectTimeoutMs())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        ResponseDecoder decoder = new ResponseDecoder(rejectedResponses);
                        channel.pipeline()
                                .addLast(decoder)
                                .addLast(new HttpRequestEncoder())
                                .addLast(new UnfinishedResponseLimit(
                                        unfinishedBytes, Math.max(MIN_UNFINISHED_BYTES_LIMIT, options.maxBodyBytes())))
                                .addLast(new HttpObjectAggregator(options.maxBodyBytes()))
                                .addLast(new ClientConnectionHandler(options, decoder));
                    }
                });
    }

    /** Sends a request. The timeout includes the time that the request waits for a connection. */
    public CompletableFuture<HttpResponse> send(HttpRequest request, long timeoutMs) {
        QueuedRequest queued = new QueuedRequest(
                request, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs), new CompletableFuture<>());
        Channel channel = null;
        boolean connect = false;
        synchronized (lock) {
            if (closed) {
                return notSentFuture("client is closed");
            }
            channel = pollIdleConnection();
            if (channel == null && openConnections < options.maxConnections()) {
                openConnections++;
                connect = true;
            } else if (channel == null) {
                if (queue.size() >= options.maxQueuedRequests()) {
                    return notSentFuture("too many requests wait for a connection to " + target);
                }
                queue.add(queued);
            }
        }
        if (channel != null) {
            sendOn(channel, queued);
        } else if (connect) {
            connect(queued);
        } else {
            scheduleQueueTimeout(queued, timeoutMs);
            dropWhenCancelled(queued);
        }
        return queued.result;
    }

    /**
     * Sends a request as {@link #send} does. If it fails or is cancelled, the idle connections are closed, because they may
     * have been lost in silence at the same time.
     */
    public CompletableFuture<HttpResponse> sendAndDistrustIdle(HttpRequest request, long timeoutMs) {
        CompletableFuture<HttpResponse> response = send(request, timeoutMs);
        response.whenComplete((result, failure) -> {
            if (failure != null) {
                closeIdleConnections();
            }
        });
        return response;
    }

    private void closeIdleConnections() {
        Deque<Channel> toClose;
        synchronized (lock) {
            toClose = new ArrayDeque<>(idleConnections);
            idleConnections.clear();
        }
        toClose.forEach(Channel::close);
    }

    /**
     * Opens connections in advance, so that the first requests do not wait for them.
     *
     * @param count number of connections that are then open or being opened; limited by the size of the pool
     */
    public void warmUp(int count) {
        int missing;
        synchronized (lock) {
            missing = closed ? 0 : Math.max(0, Math.min(count, options.maxConnections()) - openConnections);
            openConnections += missing;
        }
        for (int i = 0; i < missing; i++) {
            connectInAdvance();
        }
    }

    /**
     * Opens a connection and keeps it for requests; completes immediately if the pool is full. The future fails with
     * {@link HttpClientException}, from which {@link HttpClientException#isConnectionRefused} tells whether a process
     * listens at the address.
     */
    public CompletableFuture<Void> connect() {
        synchronized (lock) {
            if (closed) {
                return CompletableFuture.failedFuture(notSentFailure("client is closed", null));
            }
            if (openConnections >= options.maxConnections()) {
                return CompletableFuture.completedFuture(null);
            }
            openConnections++;
        }
        return connectInAdvance();
    }

    private CompletableFuture<Void> connectInAdvance() {
        CompletableFuture<Void> connected = new CompletableFuture<>();
        bootstrap.connect(target.ip(), target.port()).addListener((io.netty.channel.ChannelFutureListener) future -> {
            if (future.isSuccess()) {
                future.channel().closeFuture().addListener(done -> onConnectionClosed());
                release(future.channel());
                connected.complete(null);
            } else {
                onConnectionClosed();
                connected.completeExceptionally(connectFailure(future.cause()));
            }
        });
        return connected;
    }

    /**
     * How often the clients of this process closed a connection because the received bytes were no response. Bytes that
     * arrive while no request is in progress count.
     */
    public static long rejectedResponses() {
        return RejectedResponses.countOfProcess();
    }

    /** Number of connections that are open or being opened. */
    public int openConnections() {
        synchronized (lock) {
            return openConnections;
        }
    }

    private Channel pollIdleConnection() {
        Channel channel = idleConnections.pollFirst();
        while (channel != null && !channel.isActive()) {
            channel = idleConnections.pollFirst();
        }
        return channel;
    }

    private void scheduleQueueTimeout(QueuedRequest queued, long timeoutMs) {
        bootstrap.config().group().next().schedule(() -> failIfQueued(queued), timeoutMs, TimeUnit.MILLISECONDS);
    }

    /** A cancelled request must not count against the limit of the queue. */
    private void dropWhenCancelled(QueuedRequest queued) {
        queued.result.whenComplete((response, failure) -> {
            if (queued.result.isCancelled()) {
                removeFromQueue(queued);
            }
        });
    }

    private boolean removeFromQueue(QueuedRequest queued) {
        synchronized (lock) {
            return queue.remove(queued);
        }
    }

    private void failIfQueued(QueuedRequest queued) {
        if (removeFromQueue(queued)) {
            queued.result.completeExceptionally(notSentFailure("no connection to " + target + " became free", null));
        }
    }

    private void connect(QueuedRequest queued) {
        bootstrap.connect(target.ip(), target.port()).addListener((io.netty.channel.ChannelFutureListener) future -> {
            if (!future.isSuccess()) {
                onConnectionClosed();
                queued.result.completeExceptionally(connectFailure(future.cause()));
                return;
            }
            Channel channel = future.channel();
            channel.closeFuture().addListener(done -> onConnectionClosed());
            sendOn(channel, queued);
        });
    }

    private void sendOn(Channel channel, QueuedRequest queued) {
        if (queued.result.isDone()) {
            release(channel);
            return;
        }
        long remainingMs = TimeUnit.NANOSECONDS.toMillis(queued.deadlineNanos - System.nanoTime());
        if (remainingMs <= 0) {
            release(channel);
            queued.result.completeExceptionally(notSentFailure("deadline passed before sending to " + target, null));
            return;
        }
        ClientConnectionHandler handler = channel.pipeline().get(ClientConnectionHandler.class);
        if (handler == null) {
            queued.result.completeExceptionally(notSentFailure("connection to " + target + " was closed", null));
            return;
        }
        channel.eventLoop().execute(() -> {
            if (channel.isActive() && handler.hasRefused(queued.request)) {
                sendOnNewConnection(channel, queued);
            } else {
                handler.send(channel, target, queued.request, remainingMs, queued.result, () -> release(channel));
            }
        });
    }

    /** Closes an open connection; the next one that is free, or a new one, carries the request. */
    private void sendOnNewConnection(Channel channel, QueuedRequest queued) {
        synchronized (lock) {
            queue.addFirst(queued);
        }
        channel.close();
    }

    /** Hands a free connection to the next queued request, or returns it to the pool. */
    private void release(Channel channel) {
        QueuedRequest next;
        synchronized (lock) {
            if (!channel.isActive()) {
                return;
            }
            next = queue.pollFirst();
            if (next == null && !closed) {
                idleConnections.addFirst(channel);
            }
        }
        if (next != null) {
            sendOn(channel, next);
        } else if (closed) {
            channel.close();
        }
    }

    /** Opens a new connection for the next queued request, if there is one. */
    private void onConnectionClosed() {
        QueuedRequest next;
        synchronized (lock) {
            openConnections--;
            next = queue.pollFirst();
            if (next != null) {
                openConnections++;
            }
        }
        if (next != null) {
            connect(next);
        }
    }

    private static CompletableFuture<HttpResponse> notSentFuture(String message) {
        return CompletableFuture.failedFuture(notSentFailure(message, null));
    }

    private HttpClientException connectFailure(Throwable cause) {
        boolean refused = cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
        return new HttpClientException(
                refused ? Stage.CONNECTION_REFUSED : Stage.NOT_SENT, "cannot connect to " + target, cause);
    }

    private static HttpClientException notSentFailure(String message, Throwable cause) {
        return new HttpClientException(Stage.NOT_SENT, message, cause);
    }

    /** Closes idle connections immediately and the others after their current request. Queued requests fail. */
    @Override
    public void close() {
        Deque<Channel> toClose;
        Deque<QueuedRequest> toFail;
        synchronized (lock) {
            closed = true;
            toClose = new ArrayDeque<>(idleConnections);
            toFail = new ArrayDeque<>(queue);
            idleConnections.clear();
            queue.clear();
        }
        toClose.forEach(Channel::close);
        toFail.forEach(queued -> queued.result.completeExceptionally(notSentFailure("client is closed", null)));
    }
}
