package org.coriandercrank.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ByteProcessor;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Decides whether received bytes are a response to the request in progress. No other class of the client checks this.
 *
 * <p>The status line is checked as received, because Netty's parser accepts other lines: it skips control characters,
 * and it reads the status with {@code Integer.parseInt}, so that {@code +20} becomes 20. Accepted are HTTP/1.0 and
 * HTTP/1.1 with a status of 200 to 599, and before it interim responses with a status of 1xx except 101. A length or
 * coding that leaves the end of the body in doubt, and a body with a status that excludes one, are rejected.
 *
 * <p>Anything else, including bytes that arrive while no request is in progress, fails with an exception, after which
 * all input is discarded; the connection must be closed. Confined to the event loop of its channel.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    /** Longest accepted status line, as in Netty's own limit. */
    private static final int MAX_STATUS_LINE_BYTES = 4_096;

    private static final int VERSION_LENGTH = 8;
    private static final int STATUS_INDEX = VERSION_LENGTH + 1;
    private static final int STATUS_END = STATUS_INDEX + 3;
    private static final String VERSION_START = "HTTP/1.";
    private static final int DELETE = 0x7f;

    /** True for the characters that a reason may contain: tab, space, visible and those above ASCII. */
    private static final ByteProcessor IS_TEXT =
            value -> value == '\t' || value < 0 || (value >= ' ' && value != DELETE);

    private final RejectedResponses rejectedResponses;
    private boolean responseExpected;
    private boolean headRequest;
    private boolean rejected;

    /** Whether the next byte is the first of a message. */
    private boolean atStart = true;

    /** Whether the latest message is an interim response. */
    private boolean interim;

    /** Whether the latest message must not have a body although its framing may announce one. */
    private boolean bodyForbidden;

    ResponseDecoder(RejectedResponses rejectedResponses) {
        this.rejectedResponses = rejectedResponses;
    }

    /** Accepts one response from now on. Called on the event loop before a request is written. */
    void expectResponse(String method) {
        responseExpected = true;
        headRequest = "HEAD".equals(method);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        if (rejected) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        if (atStart && !isStatusLineComplete(buffer)) {
            return;
        }
        atStart = false;
        super.decode(context, buffer, out);
        for (Object message : out) {
            onMessage(message, out);
        }
    }

    private void onMessage(Object message, List<Object> out) {
        if (message instanceof HttpMessage response && response.decoderResult().isFailure()) {
            rejected = true;
            rejectedResponses.add(
                    String.valueOf(response.decoderResult().cause().getMessage()));
            return;
        }
        if (message instanceof HttpContent content) {
            if (content.decoderResult().isFailure()) {
                rejected = true;
                rejectedResponses.add(
                        String.valueOf(content.decoderResult().cause().getMessage()));
                return;
            }
            if (bodyForbidden && content.content().isReadable()) {
                // The superclass passes on what it has decoded also after an exception.
                out.forEach(ReferenceCountUtil::release);
                out.clear();
                throw reject("body with a status that excludes one");
            }
        }
        if (message instanceof LastHttpContent) {
            atStart = true;
            responseExpected = interim;
        }
    }

    /** Whether the whole status line is there; throws as soon as the bytes cannot be the start of a response. */
    private boolean isStatusLineComplete(ByteBuf buffer) {
        int length = buffer.readableBytes();
        if (length == 0) {
            return false;
        }
        if (!responseExpected) {
            throw reject("bytes while no request is in progress");
        }
        int start = buffer.readerIndex();
        int lineLength = buffer.bytesBefore(Math.min(length, MAX_STATUS_LINE_BYTES), (byte) '\n');
        int checked = lineLength < 0 ? length : lineLength;
        for (int i = 0; i < Math.min(checked, STATUS_END); i++) {
            if (!isAllowed(i, buffer.getByte(start + i))) {
                throw reject("invalid version or status");
            }
        }
        if (lineLength < 0) {
            if (length >= MAX_STATUS_LINE_BYTES) {
                throw reject("status line too long");
            }
            return false;
        }
        checkLine(buffer, start, lineLength);
        return true;
    }

    private static boolean isAllowed(int index, byte value) {
        if (index < VERSION_START.length()) {
            return value == VERSION_START.charAt(index);
        }
        if (index < VERSION_LENGTH) {
            return value == '0' || value == '1';
        }
        if (index < STATUS_INDEX) {
            return value == ' ';
        }
        return value >= '0' && value <= '9';
    }

    /** Checks a whole line whose version and status consist of allowed characters. */
    private void checkLine(ByteBuf buffer, int start, int lineLength) {
        int end = start + lineLength - 1;
        if (lineLength <= STATUS_END || buffer.getByte(end) != '\r') {
            throw reject("incomplete status line");
        }
        int status = 0;
        for (int i = STATUS_INDEX; i < STATUS_END; i++) {
            status = status * 10 + buffer.getByte(start + i) - '0';
        }
        interim = status / 100 == 1 && status != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
        if (!interim && !HttpResponse.isFinalStatus(status)) {
            throw reject("status outside 200 to 599");
        }
        bodyForbidden = status == HttpResponseStatus.RESET_CONTENT.code();
        int reason = start + STATUS_END;
        if (reason < end && buffer.getByte(reason) != ' ') {
            throw reject("no space after the status");
        }
        if (buffer.forEachByte(reason, end - reason, IS_TEXT) >= 0) {
            throw reject("control character in the reason");
        }
    }

    private CorruptedFrameException reject(String reason) {
        rejected = true;
        rejectedResponses.add(reason);
        return new CorruptedFrameException("the response is not valid HTTP: " + reason);
    }

    /** Called by the superclass after the header fields; an exception becomes a decoder failure of the message. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        int status =
                ((io.netty.handler.codec.http.HttpResponse) message).status().code();
        boolean noContent = interim || status == HttpResponseStatus.NO_CONTENT.code();
        checkFraming(message, noContent || bodyForbidden, noContent);
        return headRequest || noContent || status == HttpResponseStatus.NOT_MODIFIED.code();
    }

    /** The superclass ends a name at the first space, so that {@code x y: 1} would be read as the header x. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("space in a header name");
        }
        return super.splitHeaderName(line, start, length);
    }

    private static void checkFraming(HttpMessage message, boolean lengthForbidden, boolean codingForbidden) {
        List<String> lengths = message.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
        List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        // Equal repetitions and lists are rejected by the superclass.
        for (String length : lengths) {
            if (lengthForbidden && !length.equals("0")) {
                throw new IllegalArgumentException("length with a status that excludes a body");
            }
        }
        if (codings.isEmpty()) {
            return;
        }
        if (codingForbidden
                || codings.size() > 1
                || !lengths.isEmpty()
                || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))
                || message.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            throw new IllegalArgumentException("transfer coding that is not allowed here");
        }
    }
}
