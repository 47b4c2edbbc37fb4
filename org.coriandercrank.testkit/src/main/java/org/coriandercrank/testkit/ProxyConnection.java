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

/** One proxied connection; both channels share one event loop, to which all state is confined. */
final class ProxyConnection {
    private final Channel front;
    private final Channel back;
    private final LongSupplier delayMs;
    private final LongConsumer countBytes;
    private final Pipe toTarget;
    private final Pipe fromTarget;
    private boolean silenced;

    ProxyConnection(Channel front, Channel back, LongSupplier delayMs, LongConsumer countBytes) {
        this.front = front;
        this.back = back;
        this.delayMs = delayMs;
        this.countBytes = countBytes;
        this.toTarget = new Pipe(front, back);
        this.fromTarget = new Pipe(back, front);
    }

    String sourceIp() {
        InetSocketAddress source = (InetSocketAddress) front.remoteAddress();
        return source == null ? "" : source.getAddress().getHostAddress();
    }

    void start(Set<Direction> blocked) {
        front.pipeline().addLast(toTarget);
        back.pipeline().addLast(fromTarget);
        applyBlocks(blocked);
        front.config().setAutoRead(true);
        back.config().setAutoRead(true);
    }

    void update(Set<Direction> blocked) {
        front.eventLoop().execute(() -> applyBlocks(blocked));
    }

    void silence() {
        front.eventLoop().execute(() -> {
            silenced = true;
            applyBlocks(Set.of());
        });
    }

    void close() {
        front.close();
        back.close();
    }

    private void applyBlocks(Set<Direction> blocked) {
        toTarget.setBlocked(silenced || blocked.contains(Direction.TO_TARGET));
        fromTarget.setBlocked(silenced || blocked.contains(Direction.FROM_TARGET));
    }

    /** Bytes from one channel to the other. */
    private final class Pipe extends ChannelInboundHandlerAdapter {
        private final Channel source;
        private final Channel sink;
        private final Deque<ByteBuf> held = new ArrayDeque<>();
        private boolean blocked;
        private long lastDueNanos;

        Pipe(Channel source, Channel sink) {
            this.source = source;
            this.sink = sink;
        }

        void setBlocked(boolean newBlocked) {
            blocked = newBlocked;
            while (!blocked && !held.isEmpty()) {
                forward(held.poll());
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            if (blocked) {
                held.add(bytes);
            } else {
                forward(bytes);
            }
        }

        private void forward(ByteBuf bytes) {
            countBytes.accept(bytes.readableBytes());
            long nowNanos = System.nanoTime();
            long dueNanos = Math.max(nowNanos + TimeUnit.MILLISECONDS.toNanos(delayMs.getAsLong()), lastDueNanos);
            lastDueNanos = dueNanos;
            if (dueNanos <= nowNanos) {
                sink.writeAndFlush(bytes);
            } else {
                sink.eventLoop().schedule(() -> sink.writeAndFlush(bytes), dueNanos - nowNanos, TimeUnit.NANOSECONDS);
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
