package org.coriandercrank.kernel.peer;

import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.message.Message;

/**
 * Client for messages to other daemons. Implementations are thread safe and never block the caller.
 *
 * <p>Futures fail with a {@link org.coriandercrank.kernel.code.CrankException}: {@code PEER_UNREACHABLE} or {@code
 * WRONG_MEMBER} if the message was definitely not handled, {@code LINK_LOST} or {@code CALL_TIMEOUT} if it may have
 * been handled, or the code of a {@link org.coriandercrank.kernel.message.CallFailure}.
 */
public interface PeerClient {
    /** Sends a message; the future completes with its answer. */
    <A extends Message> CompletableFuture<A> call(
            PeerTarget target, Message message, Class<A> answerType, long timeoutMs);

    /** Sends a message that has no answer. The message may be lost. */
    void send(PeerTarget target, Message message);
}
