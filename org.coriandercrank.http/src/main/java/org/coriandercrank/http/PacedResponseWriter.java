package org.coriandercrank.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.Deque;
import org.coriandercrank.scheduling.link.Uplink;

/**
 * Writes the encoded responses of a connection in their order, long ones in pieces as the {@link Uplink} of the host
 * allows. Confined to the event loop of the channel, except {@link #isReady} and {@link #send}.
 */
final class PacedResponseWriter extends ChannelDuplexHandler implements Uplink.Sender {
    private record Write(Object message, ChannelPromise promise) {
        int bytes() {
            return message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
        }
    }

    private final Uplink uplink;

    /** A long write and those behind it; empty if all writes have been passed on. */
    private final Deque<Write> waiting = new ArrayDeque<>();

    /** Transfer of the first waiting write. */
    private Uplink.Transfer transfer;

    private ChannelHandlerContext context;
    private volatile boolean pieceWaiting;

    PacedResponseWriter(Uplink uplink) {
        this.uplink = uplink;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext newContext) {
        context = newContext;
    }

    @Override
    public void write(ChannelHandlerContext ignored, Object message, ChannelPromise promise) {
        waiting.add(new Write(message, promise));
        if (waiting.size() == 1) {
            passOn();
        }
    }

    /** Writes the first waiting messages up to a long one, and starts that one. */
    private void passOn() {
        while (!waiting.isEmpty()) {
            Write first = waiting.peekFirst();
            if (uplink.isLong(first.bytes()) && context.channel().isActive()) {
                transfer = uplink.start(first.bytes(), this);
                return;
            }
            uplink.onShortMessage(first.bytes());
            context.write(first.message(), first.promise());
            waiting.removeFirst();
        }
    }

    @Override
    public boolean isReady() {
        return !pieceWaiting;
    }

    @Override
    public void send(int bytes) {
        pieceWaiting = true;
        // The first piece may be due while the message is still being added.
        context.executor().execute(() -> writePiece(bytes));
    }

    private void writePiece(int bytes) {
        Write first = waiting.peekFirst();
        if (first == null || !(first.message() instanceof ByteBuf buffer)) {
            return;
        }
        boolean last = bytes == buffer.readableBytes();
        ChannelFuture written =
                last ? context.write(buffer, first.promise()) : context.write(buffer.readRetainedSlice(bytes));
        written.addListener(done -> {
            pieceWaiting = false;
            uplink.onReady();
        });
        if (last) {
            waiting.removeFirst();
            passOn();
        }
        context.flush();
    }

    @Override
    public void close(ChannelHandlerContext ignored, ChannelPromise promise) {
        discardWaiting();
        context.close(promise);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        discardWaiting();
        context.fireChannelInactive();
    }

    private void discardWaiting() {
        if (transfer != null) {
            transfer.cancel();
        }
        while (!waiting.isEmpty()) {
            Write write = waiting.removeFirst();
            ReferenceCountUtil.release(write.message());
            write.promise().tryFailure(new ClosedChannelException());
        }
    }
}
