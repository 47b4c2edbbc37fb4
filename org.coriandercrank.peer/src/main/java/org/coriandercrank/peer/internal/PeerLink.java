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
import org.coriandercrank.kernel.id.RequestId;
import org.coriandercrank.kernel.message.CallFailure;
import org.coriandercrank.kernel.message.CancelRequest;
import org.coriandercrank.kernel.message.ForwardRequest;
import org.coriandercrank.kernel.message.Heartbeat;
import org.coriandercrank.kernel.message.Hello;
import org.coriandercrank.kernel.message.Message;
import org.coriandercrank.kernel.message.Ping;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.peer.PeerOptions;

/**
 * One outgoing connection to a daemon.
 *
 * <p>Thread safe: all state is confined to one event loop. Messages are written only after the handshake, in which the
 * other daemon must identify itself as the expected member. A failure before that therefore means that the message was
 * not handled. A closed connection is never reused.
 *
 * <p>Messages wait in the link for the handshake and for room in the connection, in the order in which they are sent. A
 * request that is cancelled meanwhile is not written, and its remaining time is shorter by the wait.
 */
public final class PeerLink {
    static final String CLOSED_BY_THIS_DAEMON = "connection closed by this daemon";

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long SILENCE_CHECK_PERIOD_MS = 100;
    private static final long SLOW_CONTROL_CALL_MS = 150;
    private static final int SLOW_CALL_LOG_INTERVAL_MS = 200;

    private record OutstandingCall(
            Message message,
            Class<? extends Message> answerType,
            long calledNanos,
            CompletableFuture<Message> result) {}

    /** A frame that is written after the handshake, when the connection has room for it. */
    private record WaitingFrame(Frame frame, long sinceNanos) {
        boolean isRequest(RequestId id) {
            return frame.message() instanceof ForwardRequest forward
                    && forward.request().id().equals(id);
        }

        /** The frame to write now; the remaining time of a request is shorter by the time that it has waited. */
        Frame toWrite(long nowNanos) {
            return frame.message() instanceof ForwardRequest forward
                    ? new Frame(
                            frame.correlationId(),
                            forward.afterMs(TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos)))
                    : frame;
        }
    }

    private final LinkSource source;
    private final PeerTarget target;
    private final PeerOptions options;
    private final TrafficMeter meter;
    private final EventLoop loop;
    private final UnansweredTargets unanswered;
    private final ClosedLinkLog closedLinks;
    private final Runnable onClosed;

    /** Whether calls fail until the handshake is complete, because the attempt before this one was not answered. */
    private final boolean failFast;

    private final long openedNanos = System.nanoTime();

    private final Map<Long, OutstandingCall> outstandingCalls = new LinkedHashMap<>();
    private final Deque<WaitingFrame> waitingFrames = new ArrayDeque<>();
    private Channel channel;
    private ScheduledFuture<?> silenceCheck;
    private boolean handshakeComplete;
    private boolean closed;
    private long nextCorrelationId = Frame.ONE_WAY + 1;
    /**
     * The silence starts when bytes arrive, also of an incomplete frame, when the connection is established, or when a
     * call starts while no other is outstanding.
     */
    private final SilenceDetector silence;

    private long lastUseNanos = System.nanoTime();
    /** Whether the scheduled check waits for the idle timeout instead of the shorter check period. */
    private boolean idleCheckScheduled;

    PeerLink(
            LinkSource source,
            PeerTarget target,
            PeerOptions options,
            TrafficMeter meter,
            EventLoop loop,
            UnansweredTargets unanswered,
            ClosedLinkLog closedLinks,
            Runnable onClosed) {
        this.source = source;
        this.target = target;
        this.options = options;
        this.meter = meter;
        this.loop = loop;
        this.unanswered = unanswered;
        this.failFast = unanswered.contains(target, System.nanoTime());
        this.closedLinks = closedLinks;
        this.onClosed = onClosed;
        this.silence = new SilenceDetector(options, SILENCE_CHECK_PERIOD_MS);
    }

    void open() {
        loop.execute(this::connect);
    }

    /** Sends a call; the future fails as described in {@link org.coriandercrank.kernel.peer.PeerClient}. */
    public void call(
            Message message, Class<? extends Message> answerType, long timeoutMs, CompletableFuture<Message> result) {
        long calledNanos = System.nanoTime();
        loop.execute(() -> startCall(message, calledNanos, answerType, timeoutMs, result));
    }

    /** Sends a message without an answer; the message is dropped if the connection is closed. */
    public void send(Message message) {
        loop.execute(() -> {
            if (!closed) {
                lastUseNanos = System.nanoTime();
                if (!(message instanceof CancelRequest cancel) || !withdraw(cancel.requestId())) {
                    write(new Frame(Frame.ONE_WAY, message), lastUseNanos);
                }
            }
        });
    }

    /** Removes a request that is not written yet; returns whether there was one. */
    private boolean withdraw(RequestId id) {
        List<WaitingFrame> withdrawn =
                waitingFrames.stream().filter(waiting -> waiting.isRequest(id)).toList();
        waitingFrames.removeAll(withdrawn);
        for (WaitingFrame waiting : withdrawn) {
            OutstandingCall call = outstandingCalls.remove(waiting.frame().correlationId());
            call.result.completeExceptionally(
                    exception(ResultCode.PEER_UNREACHABLE, "cancelled before it was written"));
        }
        return !withdrawn.isEmpty();
    }

    /** Closes the connection because this daemon stops. */
    void close() {
        loop.execute(() -> {
            if (!closed) {
                closedLinks.closedByStop(outstandingCalls.size());
                end(ResultCode.LINK_LOST, CLOSED_BY_THIS_DAEMON);
            }
            closedLinks.stopFinished();
        });
    }

    private void connect() {
        ChannelFuture connectFuture = new Bootstrap()
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
        channel = connectFuture.channel();
        connectFuture.addListener(done -> onConnectResult(connectFuture));
    }

    private void onConnectResult(ChannelFuture connectFuture) {
        if (closed) {
            channel.close();
        } else if (!connectFuture.isSuccess()) {
            fail(
                    ResultCode.PEER_UNREACHABLE,
                    String.valueOf(connectFuture.cause().getMessage()));
        } else {
            silence.restart(System.nanoTime());
            channel.writeAndFlush(new Frame(Frame.ONE_WAY, new Hello(source.member(), FrameCodec.PROTOCOL_VERSION)));
            scheduleCheck(SILENCE_CHECK_PERIOD_MS);
        }
    }

    private void startCall(
            Message message,
            long calledNanos,
            Class<? extends Message> answerType,
            long timeoutMs,
            CompletableFuture<Message> result) {
        if (closed) {
            result.completeExceptionally(exception(ResultCode.PEER_UNREACHABLE, "connection was closed"));
            return;
        }
        if (failFast && !handshakeComplete) {
            result.completeExceptionally(
                    exception(ResultCode.PEER_UNREACHABLE, "the last attempt to connect was not answered"));
            return;
        }
        if (outstandingCalls.size() >= options.maxOutstandingCalls()) {
            result.completeExceptionally(exception(ResultCode.OVERLOADED, "too many outstanding calls"));
            return;
        }
        lastUseNanos = System.nanoTime();
        if (outstandingCalls.isEmpty()) {
            silence.restart(lastUseNanos);
        }
        long correlationId = nextCorrelationId++;
        outstandingCalls.put(correlationId, new OutstandingCall(message, answerType, calledNanos, result));
        ScheduledFuture<?> timeout = loop.schedule(() -> timeOutCall(correlationId), timeoutMs, TimeUnit.MILLISECONDS);
        result.whenComplete((answer, error) -> timeout.cancel(false));
        if (idleCheckScheduled) {
            silenceCheck.cancel(false);
            scheduleCheck(SILENCE_CHECK_PERIOD_MS);
        }
        write(new Frame(correlationId, message), calledNanos);
    }

    /**
     * Without outstanding calls, the next check takes place only when the connection may have become idle long enough
     * to be closed.
     */
    private void scheduleCheck(long delayMs) {
        idleCheckScheduled = delayMs > SILENCE_CHECK_PERIOD_MS;
        silence.startChecks(System.nanoTime());
        silenceCheck = loop.schedule(this::checkSilence, delayMs, TimeUnit.MILLISECONDS);
    }

    private void write(Frame frame, long sinceNanos) {
        waitingFrames.add(new WaitingFrame(frame, sinceNanos));
        writeWaitingFrames();
    }

    /**
     * Writes the waiting frames, in their order, as far as the connection has room. What is written cannot be withdrawn
     * any more.
     */
    private void writeWaitingFrames() {
        if (!handshakeComplete || waitingFrames.isEmpty() || !channel.isWritable()) {
            return;
        }
        long nowNanos = System.nanoTime();
        while (!waitingFrames.isEmpty() && channel.isWritable()) {
            channel.write(waitingFrames.poll().toWrite(nowNanos));
        }
        channel.flush();
    }

    private void timeOutCall(long correlationId) {
        OutstandingCall call = outstandingCalls.remove(correlationId);
        if (call == null) {
            return;
        }
        boolean removed = waitingFrames.removeIf(waiting -> waiting.frame().correlationId() == correlationId);
        ResultCode code = removed ? ResultCode.PEER_UNREACHABLE : ResultCode.CALL_TIMEOUT;
        call.result.completeExceptionally(exception(code, "no answer within the timeout"));
    }

    private void checkSilence() {
        long nowNanos = System.nanoTime();
        if (outstandingCalls.isEmpty() && handshakeComplete) {
            long idleMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - lastUseNanos);
            if (idleMs >= options.idleTimeoutMs()) {
                fail(ResultCode.LINK_LOST, "idle");
            } else {
                scheduleCheck(options.idleTimeoutMs() - idleMs + SILENCE_CHECK_PERIOD_MS);
            }
            return;
        }
        SilenceDetector.Action action = silence.check(nowNanos, handshakeComplete);
        if (action == SilenceDetector.Action.CLOSE) {
            fail(ResultCode.LINK_LOST, "silent for " + silence.silentMs(nowNanos) + " ms");
            return;
        }
        if (action == SilenceDetector.Action.PING) {
            channel.writeAndFlush(new Frame(Frame.ONE_WAY, new Ping()));
        }
        scheduleCheck(SILENCE_CHECK_PERIOD_MS);
    }

    private void receive(Frame frame) {
        if (frame.message() instanceof Hello hello) {
            completeHandshake(hello);
            return;
        }
        OutstandingCall call = outstandingCalls.remove(frame.correlationId());
        if (call != null) {
            logIfSlow(call);
            completeCall(call, frame.message());
        }
    }

    /** A control call needs hardly any time at its receiver, so a slow one tells how long the network delays messages. */
    private void logIfSlow(OutstandingCall call) {
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - call.calledNanos);
        if (call.message instanceof Heartbeat && elapsedMs >= SLOW_CONTROL_CALL_MS) {
            logger.atInfo().atMostEvery(SLOW_CALL_LOG_INTERVAL_MS, TimeUnit.MILLISECONDS).log(
                    "event=peer-call-slow peer=%s call=heartbeat elapsedMs=%d outstanding=%d",
                    target.member(), elapsedMs, outstandingCalls.size());
        }
    }

    private void completeHandshake(Hello hello) {
        if (!hello.sender().equals(target.member())) {
            fail(ResultCode.WRONG_MEMBER, "address belongs to " + hello.sender());
            return;
        }
        handshakeComplete = true;
        unanswered.remove(target);
        writeWaitingFrames();
    }

    private void completeCall(OutstandingCall call, Message answer) {
        if (answer instanceof CallFailure callFailure) {
            call.result.completeExceptionally(exception(callFailure.code(), callFailure.detail()));
        } else if (call.answerType.isInstance(answer)) {
            call.result.complete(answer);
        } else {
            call.result.completeExceptionally(exception(
                    ResultCode.FRAME_MALFORMED,
                    "unexpected " + answer.getClass().getSimpleName()));
        }
    }

    private void fail(ResultCode code, String reason) {
        if (!closed) {
            closedLinks.closed(target, code, outstandingCalls.size(), reason);
            end(code, reason);
        }
    }

    /** Closes the connection and fails all outstanding calls. Calls that were never written fail as not handled. */
    private void end(ResultCode code, String reason) {
        closed = true;
        if (!handshakeComplete) {
            unanswered.attemptFailed(target, openedNanos, System.nanoTime());
        }
        if (silenceCheck != null) {
            silenceCheck.cancel(false);
        }
        if (channel != null) {
            channel.close();
        }
        onClosed.run();
        ResultCode codeBeforeHandshake = code == ResultCode.LINK_LOST ? ResultCode.PEER_UNREACHABLE : code;
        List<OutstandingCall> calls = new ArrayList<>(outstandingCalls.values());
        outstandingCalls.clear();
        for (OutstandingCall call : calls) {
            call.result.completeExceptionally(exception(handshakeComplete ? code : codeBeforeHandshake, reason));
        }
    }

    private CrankException exception(ResultCode code, String reason) {
        return new CrankException(code, "member " + target.member() + ": " + reason);
    }

    /** Passes received frames and the end of the connection to the link. */
    private final class Inbound extends SimpleChannelInboundHandler<Frame> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            receive(frame);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            silence.restart(System.nanoTime());
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            writeWaitingFrames();
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
