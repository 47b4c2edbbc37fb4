package org.coriandercrank.testkit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.coriandercrank.testkit.FaultProxy.Direction;

/** A connection through a {@link FaultProxy}. Both channels share one event loop, to which all state is confined. */
final class ProxyConnection {
    private final Channel clientChannel;
    private final Channel targetChannel;
    private final LongSupplier delayMs;
    private final LongConsumer forwardedBytesCounter;
    private final Forwarder toTarget;
    private final Forwarder fromTarget;
    private boolean silenced;

    ProxyConnection(
            Channel clientChannel, Channel targetChannel, LongSupplier delayMs, LongConsumer forwardedBytesCounter) {
        this.clientChannel = clientChannel;
        this.targetChannel = targetChannel;
        this.delayMs = delayMs;
        this.forwardedBytesCounter = forwardedBytesCounter;
        this.toTarget = new Forwarder(clientChannel, targetChannel);
        this.fromTarget = new Forwarder(targetChannel, clientChannel);
    }

    /** IP address of the client, or an empty string if its channel is not connected. */
    String sourceIp() {
        InetSocketAddress source = (InetSocketAddress) clientChannel.remoteAddress();
        return source == null ? "" : source.getAddress().getHostAddress();
    }

    void start(Set<Direction> blocked) {
        clientChannel.pipeline().addLast(toTarget);
        targetChannel.pipeline().addLast(fromTarget);
        applyBlocked(blocked);
        clientChannel.config().setAutoRead(true);
        targetChannel.config().setAutoRead(true);
    }

    /** Blocks exactly the given directions; a silenced connection keeps both blocked. */
    void setBlocked(Set<Direction> blocked) {
        clientChannel.eventLoop().execute(() -> applyBlocked(blocked));
    }

    /** Blocks both directions permanently. */
    void silence() {
        clientChannel.eventLoop().execute(() -> {
            silenced = true;
            applyBlocked(Set.of());
        });
    }

    void close() {
        clientChannel.close();
        targetChannel.close();
    }

    private void applyBlocked(Set<Direction> blocked) {
        toTarget.setBlocked(silenced || blocked.contains(Direction.TO_TARGET));
        fromTarget.setBlocked(silenced || blocked.contains(Direction.FROM_TARGET));
    }

    /**
     * Forwards the bytes of one channel to the other and buffers them while the direction is blocked. A close that
     * arrives while the direction is blocked is not forwarded.
     */
    private final class Forwarder extends ChannelInboundHandlerAdapter {
        private final Channel source;
        private final Channel sink;
        private final Deque<ByteBuf> bufferedBytes = new ArrayDeque<>();
        private boolean blocked;
        private long lastSendNanos;

        Forwarder(Channel source, Channel sink) {
            this.source = source;
            this.sink = sink;
        }

        void setBlocked(boolean newBlocked) {
            blocked = newBlocked;
            while (!blocked && !bufferedBytes.isEmpty()) {
                forward(bufferedBytes.poll());
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            if (blocked) {
                bufferedBytes.add(bytes);
            } else {
                forward(bytes);
            }
        }

        private void forward(ByteBuf bytes) {
            forwardedBytesCounter.accept(bytes.readableBytes());
            long nowNanos = System.nanoTime();
            long sendNanos = Math.max(nowNanos + TimeUnit.MILLISECONDS.toNanos(delayMs.getAsLong()), lastSendNanos);
            lastSendNanos = sendNanos;
            if (sendNanos <= nowNanos) {
                sink.writeAndFlush(bytes);
            } else {
                sink.eventLoop().schedule(() -> sink.writeAndFlush(bytes), sendNanos - nowNanos, TimeUnit.NANOSECONDS);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!blocked) {
                sink.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            source.close();
        }
    }
}
