package org.coriandercrank.peer.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import java.util.List;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;

/**
 * Encodes and decodes frames on a connection: a length of 4 bytes, then the MessagePack bytes. Confined to the event
 * loop of the channel.
 */
final class FrameCodec extends ByteToMessageCodec<Frame> {
    /** Fits the longest body that a service may allow, 8 MB, with headers and fields, which are far below 1 MB. */
    static final int MAX_FRAME_BYTES = 9 * 1_024 * 1_024;

    private static final int LENGTH_BYTES = 4;

    private final TrafficMeter meter;

    FrameCodec(TrafficMeter meter) {
        this.meter = meter;
    }

    @Override
    protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out) {
        byte[] bytes = MessageCodec.encode(frame);
        out.writeInt(bytes.length);
        out.writeBytes(bytes);
        meter.sent(frame.message(), bytes.length + LENGTH_BYTES);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (in.readableBytes() < LENGTH_BYTES) {
            return;
        }
        int length = in.getInt(in.readerIndex());
        if (length < 0 || length > MAX_FRAME_BYTES) {
            throw new CrankException(ResultCode.FRAME_MALFORMED, "frame length " + length + " is out of range");
        }
        if (in.readableBytes() < LENGTH_BYTES + length) {
            return;
        }
        in.skipBytes(LENGTH_BYTES);
        byte[] bytes = new byte[length];
        in.readBytes(bytes);
        Frame frame = MessageCodec.decode(bytes);
        meter.received(frame.message(), length + LENGTH_BYTES);
        out.add(frame);
    }
}
