package org.coriandercrank.peer.internal;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.message.CallFailure;
import org.coriandercrank.kernel.message.Hello;
import org.coriandercrank.kernel.message.Message;
import org.coriandercrank.kernel.message.Ping;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.peer.PeerOptions;

/**
 * One outgoing connection to a daemon.
 *
 * <p>Thread safe: all state is confined to one event loop. A message is written only after the other side has named
 * itself and is the expected member, so a failure before that means that the message was not handled. A closed link is
 * never reused.
 */
public final class PeerLink {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int PROTOCOL_VERSION = 1;
    private static final long CHECK_PERIOD_MS = 100;

    private record Outstanding(
            Message message, Class<? extends Message> answerType, CompletableFuture<Message> result) {}

    private final LinkSource source;
    private final PeerTarget target;
    private final PeerOptions options;
    private final TrafficMeter meter;
    private final EventLoop loop;
    private final Runnable whenClosed;

    private final Map<Long, Outstanding> outstanding = new LinkedHashMap<>();
    private final Deque<Frame> unsent = new ArrayDeque<>();
    private Channel channel;
    private ScheduledFuture<?> check;
    private boolean ready;
    private boolean closed;
    private long nextCorrelationId = Frame.ONE_WAY + 1;
    private long silentSinceNanos;
    private long lastUseNanos = System.nanoTime();
    private boolean pinged;
    private boolean idle;

    PeerLink(
            LinkSource source,
            PeerTarget target,
            PeerOptions options,
            TrafficMeter meter,
            EventLoop loop,
            Runnable whenClosed) {
        this.source = source;
        this.target = target;
        this.options = options;
        this.meter = meter;
        this.loop = loop;
        this.whenClosed = whenClosed;
    }

    void open() {
        loop.execute(this::connect);
    }

    /** Sends a call; the future fails as {@link org.coriandercrank.kernel.peer.PeerClient} says. */
    public void call(
            Message message, Class<? extends Message> answerType, long timeoutMs, CompletableFuture<Message> result) {
        loop.execute(() -> startCall(message, answerType, timeoutMs, result));
    }

    public void send(Message message) {
        loop.execute(() -> {
            if (!closed) {
                lastUseNanos = System.nanoTime();
                write(new Frame(Frame.ONE_WAY, message));
            }
        });
    }

    void close() {
        loop.execute(() -> fail(ResultCode.LINK_LOST, "link closed"));
    }

    private void connect() {
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, options.connectTimeoutMs())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline().addLast(new FrameCodec(meter)).addLast(new Inbound());
                    }
                })
                .connect(
                        new InetSocketAddress(
                                target.address().ip(), target.address().port()),
                        new InetSocketAddress(source.ip(), 0));
        channel = connecting.channel();
        connecting.addListener(done -> connected(connecting));
    }

    private void connected(ChannelFuture connecting) {
        if (closed) {
            channel.close();
        } else if (!connecting.isSuccess()) {
            fail(ResultCode.PEER_UNREACHABLE, String.valueOf(connecting.cause().getMessage()));
        } else {
            silentSinceNanos = System.nanoTime();
            channel.writeAndFlush(new Frame(Frame.ONE_WAY, new Hello(source.member(), PROTOCOL_VERSION)));
            scheduleCheck(CHECK_PERIOD_MS);
        }
    }

    private void startCall(
            Message message, Class<? extends Message> answerType, long timeoutMs, CompletableFuture<Message> result) {
        if (closed) {
            result.completeExceptionally(failure(ResultCode.PEER_UNREACHABLE, "link was closed"));
            return;
        }
        if (outstanding.size() >= options.maxOutstandingCalls()) {
            result.completeExceptionally(failure(ResultCode.OVERLOADED, "too many outstanding calls"));
            return;
        }
        lastUseNanos = System.nanoTime();
        if (outstanding.isEmpty()) {
            silentSinceNanos = lastUseNanos;
            pinged = false;
        }
        long correlationId = nextCorrelationId++;
        outstanding.put(correlationId, new Outstanding(message, answerType, result));
        ScheduledFuture<?> timeout = loop.schedule(() -> expire(correlationId), timeoutMs, TimeUnit.MILLISECONDS);
        result.whenComplete((answer, error) -> timeout.cancel(false));
        if (idle) {
            check.cancel(false);
            scheduleCheck(CHECK_PERIOD_MS);
        }
        write(new Frame(correlationId, message));
    }

    /** A link without outstanding calls is looked at only when it may be closed as idle. */
    private void scheduleCheck(long delayMs) {
        idle = delayMs > CHECK_PERIOD_MS;
        check = loop.schedule(this::checkSilence, delayMs, TimeUnit.MILLISECONDS);
    }

    private void write(Frame frame) {
        if (ready) {
            channel.writeAndFlush(frame);
        } else {
            unsent.add(frame);
        }
    }

    private void expire(long correlationId) {
        Outstanding call = outstanding.remove(correlationId);
        if (call == null) {
            return;
        }
        boolean removed = unsent.removeIf(frame -> frame.correlationId() == correlationId);
        ResultCode code = removed ? ResultCode.PEER_UNREACHABLE : ResultCode.CALL_TIMEOUT;
        call.result.completeExceptionally(failure(code, "no answer in time"));
    }

    private void checkSilence() {
        long nowNanos = System.nanoTime();
        if (outstanding.isEmpty() && ready) {
            long unusedMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - lastUseNanos);
            if (unusedMs >= options.idleCloseMs()) {
                fail(ResultCode.LINK_LOST, "idle");
            } else {
                scheduleCheck(options.idleCloseMs() - unusedMs + CHECK_PERIOD_MS);
            }
            return;
        }
        long silentMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - silentSinceNanos);
        if (silentMs >= options.closeAfterMs()) {
            fail(ResultCode.LINK_LOST, "silent for " + silentMs + " ms");
            return;
        }
        if (silentMs >= options.pingAfterMs() && !pinged && ready) {
            pinged = true;
            channel.writeAndFlush(new Frame(Frame.ONE_WAY, new Ping()));
        }
        scheduleCheck(CHECK_PERIOD_MS);
    }

    private void receive(Frame frame) {
        silentSinceNanos = System.nanoTime();
        pinged = false;
        if (frame.message() instanceof Hello hello) {
            confirm(hello);
            return;
        }
        Outstanding call = outstanding.remove(frame.correlationId());
        if (call != null) {
            complete(call, frame.message());
        }
    }

    private void confirm(Hello hello) {
        if (!hello.sender().equals(target.member())) {
            fail(ResultCode.WRONG_MEMBER, "address belongs to " + hello.sender());
            return;
        }
        ready = true;
        for (Frame frame = unsent.poll(); frame != null; frame = unsent.poll()) {
            channel.write(frame);
        }
        channel.flush();
    }

    private void complete(Outstanding call, Message answer) {
        if (answer instanceof CallFailure callFailure) {
            call.result.completeExceptionally(failure(callFailure.code(), callFailure.detail()));
        } else if (call.answerType.isInstance(answer)) {
            call.result.complete(answer);
        } else {
            call.result.completeExceptionally(failure(
                    ResultCode.FRAME_MALFORMED,
                    "unexpected " + answer.getClass().getSimpleName()));
        }
    }

    /** Closes the link; calls that were never written fail as not handled. */
    private void fail(ResultCode code, String reason) {
        if (closed) {
            return;
        }
        closed = true;
        if (check != null) {
            check.cancel(false);
        }
        if (channel != null) {
            channel.close();
        }
        logger.atInfo().log(
                "event=link-closed peer=%s address=%s code=%s outstanding=%d reason=\"%s\"",
                target.member(), target.address(), code, outstanding.size(), reason);
        whenClosed.run();
        ResultCode unsentCode = code == ResultCode.LINK_LOST ? ResultCode.PEER_UNREACHABLE : code;
        List<Outstanding> calls = new ArrayList<>(outstanding.values());
        outstanding.clear();
        for (Outstanding call : calls) {
            call.result.completeExceptionally(failure(ready ? code : unsentCode, reason));
        }
    }

    private CrankException failure(ResultCode code, String reason) {
        return new CrankException(code, "member " + target.member() + ": " + reason);
    }

    /** Passes frames and the end of the connection to the link. */
    private final class Inbound extends SimpleChannelInboundHandler<Frame> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            receive(frame);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail(ResultCode.LINK_LOST, "connection closed by the other side");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(ResultCode.LINK_LOST, String.valueOf(cause.getMessage()));
        }
    }
}
