package org.coriandercrank.http;

import io.netty.bootstrap.ServerBootstrap;
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
import org.coriandercrank.kernel.id.HostAddress;

/**
 * An HTTP/1.1 server with keep-alive; pipelined requests are answered in order, one at a time.
 *
 * <p>Thread safe. The handler runs on the I/O threads of the group that the creator passes and still owns.
 */
public final class HttpServer implements AutoCloseable {
    private static final int ACCEPT_BACKLOG = 1_024;

    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicInteger pendingResponses = new AtomicInteger();
    private final Channel listener;

    private final AtomicInteger open = new AtomicInteger();
    private final AtomicInteger peak = new AtomicInteger();

    private HttpServer(
            EventLoopGroup group,
            HostAddress listen,
            HttpServerOptions options,
            int maxConnections,
            HttpHandler handler)
            throws InterruptedException {
        listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        int count = open.incrementAndGet();
                        channel.closeFuture().addListener(done -> open.decrementAndGet());
                        if (count > maxConnections) {
                            channel.close();
                            return;
                        }
                        peak.accumulateAndGet(count, Math::max);
                        connections.add(channel);
                        channel.pipeline()
                                .addLast(new HttpServerCodec(
                                        options.maxInitialLineBytes(), options.maxHeaderBytes(), 8_192))
                                .addLast(new ServerConnectionHandler(options, handler, pendingResponses));
                    }
                })
                .bind(listen.ip(), listen.port())
                .sync()
                .channel();
    }

    /** Listens at an address; port 0 takes a free port. Blocks until the port is bound. */
    public static HttpServer listen(
            EventLoopGroup group, HostAddress listen, HttpServerOptions options, HttpHandler handler) {
        return listen(group, listen, options, Integer.MAX_VALUE, handler);
    }

    /** As above; a connection beyond {@code maxConnections} is closed at once. */
    public static HttpServer listen(
            EventLoopGroup group,
            HostAddress listen,
            HttpServerOptions options,
            int maxConnections,
            HttpHandler handler) {
        try {
            return new HttpServer(group, listen, options, maxConnections, handler);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while binding " + listen, e);
        }
    }

    public HostAddress address() {
        InetSocketAddress bound = (InetSocketAddress) listener.localAddress();
        return new HostAddress(bound.getAddress().getHostAddress(), bound.getPort());
    }

    public int openConnections() {
        return open.get();
    }

    /** Most connections that were served at the same time since the start. */
    public int peakConnections() {
        return peak.get();
    }

    /** Calls whose answer has not yet been passed to the operating system as a whole. */
    public int pendingResponses() {
        return pendingResponses.get();
    }

    /** Accepts no further connections; open ones go on. */
    public void stopAccepting() {
        listener.close().syncUninterruptibly();
    }

    @Override
    public void close() {
        stopAccepting();
        connections.close().awaitUninterruptibly();
    }
}
