package org.coriandercrank.kernel.peer;

import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.message.Message;

/**
 * Calls to other daemons. Implementations are thread safe and never block the caller.
 *
 * <p>Futures fail with a {@link org.coriandercrank.kernel.code.CrankException}: {@code PEER_UNREACHABLE} or
 * {@code WRONG_MEMBER} if the message was certainly not handled, {@code LINK_LOST} or {@code CALL_TIMEOUT} if it may
 * have been, or the code of a {@link org.coriandercrank.kernel.message.CallFailure}.
 */
public interface PeerClient {
    /** Sends a message and waits for its answer. */
    <A extends Message> CompletableFuture<A> call(
            PeerTarget target, Message message, Class<A> answerType, long timeoutMs);

    /** Sends a message that has no answer; it may be lost. */
    void send(PeerTarget target, Message message);
}
