package org.coriandercrank.testkit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.coriandercrank.kernel.id.HostAddress;

/**
 * A TCP proxy that injects network faults between its clients and a target process.
 *
 * <p>Bytes of a blocked direction are buffered and forwarded when the block ends, as TCP delivers them after a
 * partition. Thread safe.
 */
public final class FaultProxy implements AutoCloseable {
    /** Direction in which bytes pass the proxy. */
    public enum Direction {
        TO_TARGET,
        FROM_TARGET
    }

    /** Blocks one direction of all connections from a source IP address. Immutable. */
    private record BlockedSource(String ip, Direction direction) {}

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Set<ProxyConnection> connections = ConcurrentHashMap.newKeySet();
    private final Set<Direction> blockedForAll = ConcurrentHashMap.newKeySet();
    private final Set<BlockedSource> blockedSources = ConcurrentHashMap.newKeySet();
    private final AtomicLong forwardedBytes = new AtomicLong();
    private final Channel serverChannel;
    private volatile HostAddress target;
    private volatile boolean rejecting;
    private volatile long delayMs;

    public FaultProxy(HostAddress target) {
        this.target = target;
        serverChannel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accept(channel);
                    }
                })
                .bind("127.0.0.1", 0)
                .syncUninterruptibly()
                .channel();
    }

    /** Address on which the proxy accepts connections. */
    public HostAddress address() {
        InetSocketAddress bound = (InetSocketAddress) serverChannel.localAddress();
        return new HostAddress(bound.getAddress().getHostAddress(), bound.getPort());
    }

    /** Forwards new connections to another target; open connections keep theirs. */
    public void setTarget(HostAddress newTarget) {
        target = newTarget;
    }

    /** Closes all open connections, and each new connection as soon as it is accepted. */
    public void rejectConnections() {
        rejecting = true;
        connections.forEach(ProxyConnection::close);
    }

    /** Blocks one direction of all open and new connections. */
    public void block(Direction direction) {
        blockedForAll.add(direction);
        updateConnections();
    }

    /** Blocks both directions of all connections from a source IP address. */
    public void blockSource(String ip) {
        blockSource(ip, Direction.TO_TARGET);
        blockSource(ip, Direction.FROM_TARGET);
    }

    /** Blocks one direction of all connections from a source IP address. */
    public void blockSource(String ip, Direction direction) {
        blockedSources.add(new BlockedSource(ip, direction));
        updateConnections();
    }

    /** Blocks both directions of all open and new connections. */
    public void blockBothDirections() {
        block(Direction.TO_TARGET);
        block(Direction.FROM_TARGET);
    }

    /** Blocks both directions of the open connections permanently; {@link #clearFaults} does not end it. */
    public void silenceOpenConnections() {
        connections.forEach(ProxyConnection::silence);
    }

    /** Delays all bytes forwarded from now on. */
    public void setDelayMs(long newDelayMs) {
        delayMs = newDelayMs;
    }

    /** Ends all faults, including the delay, except silenced connections. */
    public void clearFaults() {
        rejecting = false;
        delayMs = 0;
        blockedForAll.clear();
        blockedSources.clear();
        updateConnections();
    }

    /** Number of bytes forwarded in both directions, over all connections. */
    public long forwardedBytes() {
        return forwardedBytes.get();
    }

    private void updateConnections() {
        connections.forEach(connection -> connection.setBlocked(blockedDirections(connection)));
    }

    private Set<Direction> blockedDirections(ProxyConnection connection) {
        Set<Direction> all = EnumSet.noneOf(Direction.class);
        all.addAll(blockedForAll);
        blockedSources.stream()
                .filter(source -> source.ip().equals(connection.sourceIp()))
                .forEach(source -> all.add(source.direction()));
        return all;
    }

    private void accept(SocketChannel clientChannel) {
        if (rejecting) {
            clientChannel.close();
            return;
        }
        new Bootstrap()
                .group(clientChannel.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        // ProxyConnection adds the handlers once both channels are connected.
                    }
                })
                .connect(target.ip(), target.port())
                .addListener((ChannelFutureListener) future -> {
                    if (future.isSuccess() && !rejecting) {
                        start(clientChannel, future.channel());
                    } else {
                        clientChannel.close();
                        future.channel().close();
                    }
                });
    }

    private void start(Channel clientChannel, Channel targetChannel) {
        ProxyConnection connection =
                new ProxyConnection(clientChannel, targetChannel, () -> delayMs, forwardedBytes::addAndGet);
        connections.add(connection);
        clientChannel.closeFuture().addListener(done -> connections.remove(connection));
        connection.start(blockedDirections(connection));
    }

    @Override
    public void close() {
        serverChannel.close().syncUninterruptibly();
        connections.forEach(ProxyConnection::close);
        group.shutdownGracefully();
    }
}
