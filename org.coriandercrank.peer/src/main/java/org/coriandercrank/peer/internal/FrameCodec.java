package org.coriandercrank.peer.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.List;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.message.Hello;
import org.coriandercrank.kernel.message.OutcomeAnswer;

/**
 * Encodes and decodes frames on a connection: a length of 4 bytes, then the MessagePack bytes. Confined to the event
 * loop of the channel.
 *
 * <p>Large control messages, mostly tables, are deflated, because traffic between failure domains and regions is billed.
 * Bit 30 of the length marks them. Requests and answers of callers are sent as they are.
 *
 * <p>A long frame can arrive in pieces, each a length with bit 29 set and a part of the frame's bytes; bit 28 marks the
 * last one. Other frames may lie between the pieces of a frame, but no pieces of another frame.
 *
 * <p>Until the {@link Hello} of the peer states another protocol version, frames are those of version 1, which has no
 * deflated frames and no outcome {@code RELEASED}. Version 2 has no pieces.
 */
final class FrameCodec extends ByteToMessageCodec<Frame> {
    /** Fits the longest body that a service may allow, 8 MB, with headers and fields, which are far below 1 MB. */
    static final int MAX_FRAME_BYTES = 9 * 1_024 * 1_024;

    /** Protocol version that a daemon states in its {@link Hello}. */
    static final int PROTOCOL_VERSION = 3;

    static final int LENGTH_BYTES = 4;
    static final int PIECE_FLAG = 1 << 29;
    static final int LAST_PIECE_FLAG = 1 << 28;

    private static final int FIRST_PROTOCOL_VERSION = 1;
    private static final int FIRST_VERSION_WITH_PIECES = 3;
    private static final int DEFLATED_FLAG = 1 << 30;
    private static final int FLAGS = DEFLATED_FLAG | PIECE_FLAG | LAST_PIECE_FLAG;
    private static final int MIN_DEFLATED_BYTES = 1_024;

    private final TrafficMeter meter;
    private int peerVersion = FIRST_PROTOCOL_VERSION;

    /** The pieces of a frame that has not arrived completely. */
    private final ByteArrayOutputStream pieces = new ByteArrayOutputStream(0);

    FrameCodec(TrafficMeter meter) {
        this.meter = meter;
    }

    @Override
    protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out) {
        boolean firstVersion = peerVersion == FIRST_PROTOCOL_VERSION;
        byte[] bytes = MessageCodec.encode(firstVersion ? inFirstVersion(frame) : frame);
        boolean deflated =
                !firstVersion && bytes.length >= MIN_DEFLATED_BYTES && !TrafficMeter.isRequestTraffic(frame.message());
        if (deflated) {
            bytes = Deflation.deflate(bytes);
        }
        out.writeInt(deflated ? bytes.length | DEFLATED_FLAG : bytes.length);
        out.writeBytes(bytes);
        meter.sent(frame.message(), bytes.length + LENGTH_BYTES);
    }

    /** Whether the peer accepts frames in pieces. */
    boolean peerAcceptsPieces() {
        return peerVersion >= FIRST_VERSION_WITH_PIECES;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (in.readableBytes() < LENGTH_BYTES) {
            return;
        }
        int markedLength = in.getInt(in.readerIndex());
        int length = checkedLength(markedLength);
        if (in.readableBytes() < LENGTH_BYTES + length) {
            return;
        }
        in.skipBytes(LENGTH_BYTES);
        byte[] bytes = new byte[length];
        in.readBytes(bytes);
        if ((markedLength & PIECE_FLAG) == 0) {
            out.add(decodeFrame(markedLength, bytes));
            return;
        }
        if (pieces.size() + length > LENGTH_BYTES + MAX_FRAME_BYTES) {
            throw malformed("the pieces of a frame have more than " + MAX_FRAME_BYTES + " bytes");
        }
        pieces.writeBytes(bytes);
        if ((markedLength & LAST_PIECE_FLAG) != 0) {
            out.add(decodePieces());
        }
    }

    private Frame decodePieces() {
        ByteBuffer frame = ByteBuffer.wrap(pieces.toByteArray());
        pieces.reset();
        if (frame.remaining() < LENGTH_BYTES) {
            throw malformed("the pieces of a frame have " + frame.remaining() + " bytes");
        }
        int markedLength = frame.getInt();
        if (checkedLength(markedLength) != frame.remaining() || (markedLength & PIECE_FLAG) != 0) {
            throw malformed("the pieces of a frame do not have its length");
        }
        byte[] bytes = new byte[frame.remaining()];
        frame.get(bytes);
        return decodeFrame(markedLength, bytes);
    }

    private Frame decodeFrame(int markedLength, byte[] bytes) {
        boolean deflated = (markedLength & DEFLATED_FLAG) != 0;
        Frame frame = MessageCodec.decode(deflated ? Deflation.inflate(bytes, MAX_FRAME_BYTES) : bytes);
        if (frame.message() instanceof Hello hello) {
            peerVersion = hello.protocolVersion();
        }
        meter.received(frame.message(), bytes.length + LENGTH_BYTES);
        return frame;
    }

    private static int checkedLength(int markedLength) {
        int length = markedLength & ~FLAGS;
        if (length < 0 || length > MAX_FRAME_BYTES) {
            throw malformed("frame length " + length + " is out of range");
        }
        return length;
    }

    private static CrankException malformed(String detail) {
        return new CrankException(ResultCode.FRAME_MALFORMED, detail);
    }

    /** A peer of the first version takes an outcome that it does not know for a broken connection. */
    private static Frame inFirstVersion(Frame frame) {
        return frame.message() instanceof OutcomeAnswer answer && answer.state() == OutcomeAnswer.State.RELEASED
                ? new Frame(frame.correlationId(), OutcomeAnswer.of(OutcomeAnswer.State.UNKNOWN))
                : frame;
    }
}
