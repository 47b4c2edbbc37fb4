package org.coriandercrank.kernel.peer;

import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.message.Message;

/** Handles one type of message. Called on an I/O thread; must not block. */
@FunctionalInterface
public interface PeerHandler<M extends Message> {
    /** The answer, or null for a message without one. A failed future is sent as {@code CallFailure}. */
    CompletableFuture<? extends Message> handle(MemberId sender, M message);
}
