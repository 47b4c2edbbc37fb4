package org.coriandercrank.peer.internal;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Measures how long answers to other daemons wait in this process until their last byte is passed to the operating
 * system, separately for short and long answers. Thread safe; writes are passed to it on the event loop of their channel.
 *
 * <p>The log line of a slow answer tells apart what it waited behind: bytes of its own connection, or those of all
 * connections of the host.
 */
final class AnswerWriteMeter {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** Answers up to this length count as short. */
    private static final int MAX_SHORT_BYTES = 16_384;

    private static final long SLOW_WRITE_MS = 50;
    private static final int LOG_INTERVAL_MS = 200;

    private final Timer shortAnswers;
    private final Timer longAnswers;

    /** Bytes that were passed to the connections of this host and not yet to the operating system. */
    private final AtomicLong waitingBytes = new AtomicLong();

    AnswerWriteMeter(MeterRegistry metrics) {
        shortAnswers = timer(metrics, "short");
        longAnswers = timer(metrics, "long");
        metrics.gauge("crank.peer.answer.waiting.bytes", waitingBytes);
    }

    private static Timer timer(MeterRegistry metrics, String length) {
        return Timer.builder("crank.peer.answer.write").tag("length", length).register(metrics);
    }

    /** Measures a write that is about to be passed to a connection, until its last byte has left the process. */
    void onWrite(Channel channel, int bytes, ChannelFuture written) {
        long startedNanos = System.nanoTime();
        long connectionBytes = waitingBytes(channel);
        long hostBytes = waitingBytes.getAndAdd(bytes);
        written.addListener(done -> {
            waitingBytes.addAndGet(-bytes);
            long waitedNanos = System.nanoTime() - startedNanos;
            boolean isShort = bytes <= MAX_SHORT_BYTES;
            (isShort ? shortAnswers : longAnswers).record(waitedNanos, TimeUnit.NANOSECONDS);
            long waitedMs = TimeUnit.NANOSECONDS.toMillis(waitedNanos);
            if (waitedMs >= SLOW_WRITE_MS) {
                logger.atInfo().atMostEvery(LOG_INTERVAL_MS, TimeUnit.MILLISECONDS).log(
                        "event=answer-write-slow peer=%s bytes=%d waitedMs=%d connectionBytes=%d hostBytes=%d written=%s",
                        channel.remoteAddress(), bytes, waitedMs, connectionBytes, hostBytes, done.isSuccess());
            }
        });
    }

    /** Bytes that wait in a connection; 0 if it is closed. */
    private static long waitingBytes(Channel channel) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }
}
