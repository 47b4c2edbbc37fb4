package org.coriandercrank.peer;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.message.Message;
import org.coriandercrank.kernel.peer.PeerClient;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.peer.internal.LinkTable;
import org.coriandercrank.peer.internal.PeerListener;

/**
 * The links of one daemon: accepts connections of other daemons and opens one connection to each daemon that it calls.
 *
 * <p>Thread safe. The event loop group stays the property of the creator.
 */
public final class PeerNetwork implements PeerClient, AutoCloseable {
    private final PeerListener listener;
    private final LinkTable links;

    /**
     * Listens at an address; port 0 takes a free port. Blocks until the port is bound.
     *
     * @param self member id of this daemon, read for each new connection
     */
    public PeerNetwork(
            EventLoopGroup group,
            HostAddress listen,
            Supplier<MemberId> self,
            PeerHandlers handlers,
            PeerOptions options,
            MeterRegistry metrics) {
        listener = new PeerListener(group, listen, self, handlers, metrics);
        links = new LinkTable(group, self, listen.ip(), options, metrics);
    }

    public HostAddress address() {
        return listener.address();
    }

    @Override
    public <A extends Message> CompletableFuture<A> call(
            PeerTarget target, Message message, Class<A> answerType, long timeoutMs) {
        CompletableFuture<Message> result = new CompletableFuture<>();
        links.link(target).call(message, answerType, timeoutMs, result);
        return result.thenApply(answerType::cast);
    }

    @Override
    public void send(PeerTarget target, Message message) {
        links.link(target).send(message);
    }

    @Override
    public void close() {
        listener.close();
        links.close();
    }
}
