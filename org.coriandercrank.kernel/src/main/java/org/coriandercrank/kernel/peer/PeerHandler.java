package org.coriandercrank.kernel.peer;

import java.util.concurrent.CompletableFuture;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.message.Message;

/** Handles one type of message. Called on an I/O thread; must not block. */
@FunctionalInterface
public interface PeerHandler<M extends Message> {
    /**
     * Returns the answer, or null for a message that has none. A failed future is sent as {@link
     * org.coriandercrank.kernel.message.CallFailure}.
     */
    CompletableFuture<? extends Message> handle(MemberId sender, M message);
}
