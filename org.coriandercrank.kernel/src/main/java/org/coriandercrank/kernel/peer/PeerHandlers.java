package org.coriandercrank.kernel.peer;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.coriandercrank.kernel.message.Message;

/** The message handlers of a daemon, one for each message type. Thread safe. */
public final class PeerHandlers {
    private final Map<Class<? extends Message>, PeerHandler<?>> handlers = new ConcurrentHashMap<>();

    public <M extends Message> void register(Class<M> type, PeerHandler<M> handler) {
        if (handlers.putIfAbsent(type, handler) != null) {
            throw new IllegalStateException("handler registered twice for " + type.getSimpleName());
        }
    }

    /** Removes a handler; does nothing if a different handler is registered for the type. */
    public <M extends Message> void unregister(Class<M> type, PeerHandler<M> handler) {
        handlers.remove(type, handler);
    }

    @SuppressWarnings("unchecked")
    public <M extends Message> Optional<PeerHandler<M>> find(M message) {
        return Optional.ofNullable((PeerHandler<M>) handlers.get(message.getClass()));
    }
}
