package org.coriandercrank.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the memory that the unfinished responses on all connections of a client take together, because several
 * responses without end could each stay below the limit on one body. Confined to the event loop of its channel, except
 * for the counter that the channels share.
 *
 * <p>Beyond the bound, connections with a large unfinished response fail. Small responses are never affected.
 */
final class UnfinishedResponseLimit extends ChannelInboundHandlerAdapter {
    private static final long SMALL_RESPONSE_BYTES = 65_536;

    /** Memory that a chunk takes beside its bytes, so that chunks of a few bytes reach the bound soon. */
    private static final int CHUNK_OVERHEAD_BYTES = 128;

    private final AtomicLong bytesOfAllConnections;
    private final long maxBytes;
    private long bytes;

    /** @param bytesOfAllConnections counter that the connections of one client share */
    UnfinishedResponseLimit(AtomicLong bytesOfAllConnections, long maxBytes) {
        this.bytesOfAllConnections = bytesOfAllConnections;
        this.maxBytes = maxBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpContent content) {
            int length = content.content().readableBytes() + CHUNK_OVERHEAD_BYTES;
            bytes += length;
            long totalBytes = bytesOfAllConnections.addAndGet(length);
            if (message instanceof LastHttpContent) {
                clear();
            } else if (totalBytes > maxBytes && bytes > SMALL_RESPONSE_BYTES) {
                ReferenceCountUtil.release(message);
                context.fireExceptionCaught(new TooLongHttpContentException(
                        "unfinished responses take " + totalBytes + " bytes, limit " + maxBytes));
                return;
            }
        }
        context.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        clear();
        context.fireChannelInactive();
    }

    private void clear() {
        bytesOfAllConnections.addAndGet(-bytes);
        bytes = 0;
    }
}
