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
import org.coriandercrank.scheduling.link.Uplink;

/**
 * Connections of one daemon to other daemons: accepts incoming connections and opens one outgoing connection to each
 * daemon that it calls.
 *
 * <p>Thread safe. The caller of the constructor owns the event loop group and shuts it down.
 */
public final class PeerNetwork implements PeerClient, AutoCloseable {
    private final PeerListener listener;
    private final LinkTable links;

    /**
     * Starts listening. Blocks until the port is bound.
     *
     * @param listenAddress address to listen on; port 0 selects a free port
     * @param self member id of this daemon, read for each new connection
     * @param uplink link on which the answers to other daemons are sent
     */
    public PeerNetwork(
            EventLoopGroup group,
            HostAddress listenAddress,
            Supplier<MemberId> self,
            PeerHandlers handlers,
            PeerOptions options,
            Uplink uplink,
            MeterRegistry metrics) {
        listener = new PeerListener(group, listenAddress, self, handlers, uplink, metrics);
        links = new LinkTable(group, self, listenAddress.ip(), options, metrics);
    }

    /** Starts listening on a link whose rate is not known. */
    public PeerNetwork(
            EventLoopGroup group,
            HostAddress listenAddress,
            Supplier<MemberId> self,
            PeerHandlers handlers,
            PeerOptions options,
            MeterRegistry metrics) {
        this(group, listenAddress, self, handlers, options, Uplink.UNLIMITED, metrics);
    }

    /** The bound address, with the selected port. */
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
