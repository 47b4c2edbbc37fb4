package org.coriandercrank.peer.internal;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.message.CallFailure;
import org.coriandercrank.kernel.message.Hello;
import org.coriandercrank.kernel.message.Message;
import org.coriandercrank.kernel.message.Ping;
import org.coriandercrank.kernel.message.Pong;
import org.coriandercrank.kernel.peer.PeerHandler;
import org.coriandercrank.kernel.peer.PeerHandlers;

/**
 * Handler of a connection that another daemon opened. Confined to its event loop. Answers are sent as soon as they are
 * available, in any order.
 */
final class InboundConnection extends SimpleChannelInboundHandler<Frame> {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final MemberId self;
    private final PeerHandlers handlers;
    private MemberId sender;

    InboundConnection(MemberId self, PeerHandlers handlers) {
        this.self = self;
        this.handlers = handlers;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (frame.message() instanceof Hello hello) {
            sender = hello.sender();
            context.writeAndFlush(new Frame(Frame.ONE_WAY, new Hello(self, FrameCodec.PROTOCOL_VERSION)));
        } else if (sender == null) {
            logger.atWarning().log("event=link-rejected reason=no-hello");
            context.close();
        } else if (frame.message() instanceof Ping) {
            context.writeAndFlush(new Frame(Frame.ONE_WAY, new Pong()));
        } else {
            handle(context, frame);
        }
    }

    private void handle(ChannelHandlerContext context, Frame frame) {
        CompletableFuture<? extends Message> answer = answer(frame.message());
        if (answer == null) {
            return;
        }
        answer.whenComplete((message, failure) -> {
            if (frame.correlationId() != Frame.ONE_WAY) {
                context.writeAndFlush(
                        new Frame(frame.correlationId(), failure == null ? message : failureMessage(failure)));
            }
        });
    }

    private CompletableFuture<? extends Message> answer(Message message) {
        Optional<PeerHandler<Message>> handler = handlers.find(message);
        if (handler.isEmpty()) {
            return CompletableFuture.failedFuture(new CrankException(
                    ResultCode.UNSUPPORTED_MESSAGE, message.getClass().getSimpleName()));
        }
        try {
            return handler.get().handle(sender, message);
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("event=peer-handler-failed");
            return CompletableFuture.failedFuture(e);
        }
    }

    private static CallFailure failureMessage(Throwable failure) {
        CrankException cause = CrankException.of(failure);
        return new CallFailure(cause.code(), String.valueOf(cause.getMessage()));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        logger.atInfo().log("event=inbound-link-failed peer=%s reason=\"%s\"", sender, cause.getMessage());
        context.close();
    }
}
