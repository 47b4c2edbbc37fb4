package org.coriandercrank.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.scheduling.link.Uplink;

/**
 * An HTTP/1.1 server with keep-alive connections. Responses to pipelined requests are written in the order of the
 * requests.
 *
 * <p>Thread safe. The handler runs on the I/O threads of the given event loop group, which is not closed with the
 * server.
 */
public final class HttpServer implements AutoCloseable {
    private static final int ACCEPT_BACKLOG = 1_024;
    private static final int MAX_CHUNK_BYTES = 8_192;
    private static final int MAX_READS_PER_TURN = 16;
    /** A program that is being stopped has about this time left after its own drain. */
    private static final long CLOSE_TIMEOUT_MS = 500;

    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicInteger pendingResponses = new AtomicInteger();
    private final LongAdder abandonedRequests = new LongAdder();
    private final Channel listenChannel;

    /** Set before {@link #close} visits the connections. */
    private volatile boolean closing;

    private final AtomicInteger openConnections = new AtomicInteger();
    private final AtomicInteger peakConnections = new AtomicInteger();

    private HttpServer(
            EventLoopGroup group,
            HostAddress listenAddress,
            HttpServerOptions options,
            int maxConnections,
            Uplink uplink,
            HttpHandler handler)
            throws InterruptedException {
        listenChannel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Reads on until nothing is left, so that the end of a connection is found in the turn of its requests.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator()
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(MAX_READS_PER_TURN))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        int openCount = openConnections.incrementAndGet();
                        channel.closeFuture().addListener(done -> openConnections.decrementAndGet());
                        if (openCount > maxConnections) {
                            channel.close();
                            return;
                        }
                        peakConnections.accumulateAndGet(openCount, Math::max);
                        connections.add(channel);
                        if (closing) {
                            // Accepted before the close and registered after it, so the close may not have seen it.
                            channel.close();
                            return;
                        }
                        if (!isOnThisHost(channel)) {
                            channel.pipeline().addLast(new PacedResponseWriter(uplink));
                        }
                        channel.pipeline()
                                .addLast(new HttpServerCodec(
                                        options.maxInitialLineBytes(), options.maxHeaderBytes(), MAX_CHUNK_BYTES))
                                .addLast(new ServerConnectionHandler(
                                        options, handler, pendingResponses, abandonedRequests));
                    }
                })
                .bind(listenAddress.ip(), listenAddress.port())
                .sync()
                .channel();
    }

    /** Starts a server. Port 0 selects a free port. Blocks until the port is bound. */
    public static HttpServer listen(
            EventLoopGroup group, HostAddress listenAddress, HttpServerOptions options, HttpHandler handler) {
        return listen(group, listenAddress, options, Integer.MAX_VALUE, handler);
    }

    /** Starts a server that sends its responses to other hosts on a link. Port 0 selects a free port. */
    public static HttpServer listen(
            EventLoopGroup group,
            HostAddress listenAddress,
            HttpServerOptions options,
            Uplink uplink,
            HttpHandler handler) {
        return listen(group, listenAddress, options, Integer.MAX_VALUE, uplink, handler);
    }

    /** Starts a server that closes each connection beyond {@code maxConnections} as soon as it is accepted. */
    public static HttpServer listen(
            EventLoopGroup group,
            HostAddress listenAddress,
            HttpServerOptions options,
            int maxConnections,
            HttpHandler handler) {
        return listen(group, listenAddress, options, maxConnections, Uplink.UNLIMITED, handler);
    }

    private static HttpServer listen(
            EventLoopGroup group,
            HostAddress listenAddress,
            HttpServerOptions options,
            int maxConnections,
            Uplink uplink,
            HttpHandler handler) {
        try {
            return new HttpServer(group, listenAddress, options, maxConnections, uplink, handler);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while binding " + listenAddress, e);
        }
    }

    /** Whether the client runs on this host, so that responses to it do not use the link. */
    private static boolean isOnThisHost(SocketChannel channel) {
        return channel.remoteAddress() != null
                && channel.remoteAddress()
                        .getAddress()
                        .equals(channel.localAddress().getAddress());
    }

    /** The address that the server is bound to. */
    public HostAddress address() {
        InetSocketAddress bound = (InetSocketAddress) listenChannel.localAddress();
        return new HostAddress(bound.getAddress().getHostAddress(), bound.getPort());
    }

    public int openConnections() {
        return openConnections.get();
    }

    /** Largest number of connections that were served at the same time since the start. */
    public int peakConnections() {
        return peakConnections.get();
    }

    /** Number of requests whose response has not yet been passed to the operating system completely. */
    public int pendingResponses() {
        return pendingResponses.get();
    }

    /** Number of requests since the start that were dropped because their client had closed the connection. */
    public long abandonedRequests() {
        return abandonedRequests.sum();
    }

    /** Stops accepting connections. Open connections are still served. */
    public void stopAccepting() {
        listenChannel.close().syncUninterruptibly();
    }

    /**
     * Stops accepting connections and reading requests, and closes each connection after the responses to the requests
     * that the handler got. Blocks for half a second at most; responses that are not there by then are not sent. Must not
     * be called on a thread of the event loop group.
     */
    @Override
    public void close() {
        closing = true;
        stopAccepting();
        connections.forEach(channel -> channel.pipeline().fireUserEventTriggered(ServerConnectionHandler.CLOSE));
        connections.newCloseFuture().awaitUninterruptibly(CLOSE_TIMEOUT_MS);
        connections.close().awaitUninterruptibly();
    }
}
