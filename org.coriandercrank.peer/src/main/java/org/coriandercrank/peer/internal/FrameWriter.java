package org.coriandercrank.peer.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.Deque;
import org.coriandercrank.scheduling.link.Uplink;

/**
 * Writes the encoded frames of a connection. A long frame is written in pieces, as the {@link Uplink} of the host allows,
 * if the peer accepts pieces; short frames are written at once, also between the pieces. Long frames of a connection are
 * written one after the other. Confined to the event loop of the channel, except {@link #isReady} and {@link #send}.
 */
final class FrameWriter extends ChannelDuplexHandler implements Uplink.Sender {
    private record LongFrame(ByteBuf bytes, ChannelPromise promise) {}

    private final Uplink uplink;
    private final FrameCodec codec;
    private final AnswerWriteMeter meter;
    private final Deque<LongFrame> longFrames = new ArrayDeque<>();

    /** Transfer of the first long frame; null if there is none. */
    private Uplink.Transfer transfer;

    private ChannelHandlerContext context;
    private volatile boolean pieceWaiting;

    /** @param codec codec of the same connection, which knows what the peer accepts */
    FrameWriter(Uplink uplink, FrameCodec codec, AnswerWriteMeter meter) {
        this.uplink = uplink;
        this.codec = codec;
        this.meter = meter;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext newContext) {
        context = newContext;
    }

    @Override
    public void write(ChannelHandlerContext ignored, Object message, ChannelPromise promise) {
        if (!(message instanceof ByteBuf frame) || frame.readableBytes() == 0) {
            context.write(message, promise);
            return;
        }
        int bytes = frame.readableBytes();
        meter.onWrite(context.channel(), bytes, promise);
        if (uplink.isLong(bytes)
                && codec.peerAcceptsPieces()
                && context.channel().isActive()) {
            longFrames.add(new LongFrame(frame, promise));
            if (longFrames.size() == 1) {
                startTransfer();
            }
        } else {
            uplink.onShortMessage(bytes);
            context.write(frame, promise);
        }
    }

    private void startTransfer() {
        LongFrame first = longFrames.peekFirst();
        if (first != null) {
            transfer = uplink.start(first.bytes().readableBytes(), this);
        }
    }

    @Override
    public boolean isReady() {
        return !pieceWaiting;
    }

    @Override
    public void send(int bytes) {
        pieceWaiting = true;
        // The first piece may be due while the frame is still being added.
        context.executor().execute(() -> writePiece(bytes));
    }

    private void writePiece(int bytes) {
        LongFrame frame = longFrames.peekFirst();
        if (frame == null) {
            return;
        }
        boolean last = bytes == frame.bytes().readableBytes();
        ByteBuf header = context.alloc().ioBuffer(FrameCodec.LENGTH_BYTES);
        header.writeInt(bytes | FrameCodec.PIECE_FLAG | (last ? FrameCodec.LAST_PIECE_FLAG : 0));
        context.write(header);
        ChannelFuture written = last
                ? context.writeAndFlush(frame.bytes(), frame.promise())
                : context.writeAndFlush(frame.bytes().readRetainedSlice(bytes));
        written.addListener(done -> {
            pieceWaiting = false;
            uplink.onReady();
        });
        if (last) {
            longFrames.removeFirst();
            startTransfer();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        if (transfer != null) {
            transfer.cancel();
        }
        for (LongFrame frame : longFrames) {
            frame.bytes().release();
            frame.promise().tryFailure(new ClosedChannelException());
        }
        longFrames.clear();
        context.fireChannelInactive();
    }
}
