package org.coriandercrank.peer.internal;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.peer.PeerTarget;
import org.coriandercrank.peer.PeerOptions;

/**
 * The open outgoing connections of a daemon. Thread safe. There is at most one for each target and member id of this
 * daemon.
 *
 * <p>The handshake of a connection states the member id of the sender. After the daemon has joined with a new id, calls
 * use new connections. Answers to earlier calls still arrive on the old connections, which are closed when they are
 * idle.
 *
 * <p>While a daemon does not answer connection attempts, calls to it fail at once instead of each waiting for the
 * timeout of an attempt. One attempt at a time goes on in the background, and its success ends this.
 */
public final class LinkTable implements AutoCloseable {
    /** Both ends of a connection. */
    private record LinkKey(LinkSource source, PeerTarget target) {}

    private final EventLoopGroup group;
    private final Supplier<MemberId> self;
    private final String localIp;
    private final PeerOptions options;
    private final TrafficMeter meter;
    private final Map<LinkKey, PeerLink> links = new ConcurrentHashMap<>();
    private final UnansweredTargets unanswered = new UnansweredTargets();
    private final ClosedLinkLog closedLinks;

    public LinkTable(
            EventLoopGroup group, Supplier<MemberId> self, String localIp, PeerOptions options, MeterRegistry metrics) {
        this.group = group;
        this.self = self;
        this.localIp = localIp;
        this.options = options;
        this.meter = new TrafficMeter(metrics);
        this.closedLinks = new ClosedLinkLog(group);
        metrics.gaugeMapSize("crank.peer.links", List.of(), links);
    }

    /** The connection from the current member id of this daemon to a target; opened if there is none. */
    public PeerLink link(PeerTarget target) {
        return links.computeIfAbsent(new LinkKey(new LinkSource(self.get(), localIp), target), this::open);
    }

    private PeerLink open(LinkKey ends) {
        PeerLink link = new PeerLink(
                ends.source(),
                ends.target(),
                options,
                meter,
                group.next(),
                unanswered,
                closedLinks,
                () -> links.remove(ends));
        link.open();
        return link;
    }

    @Override
    public void close() {
        List<PeerLink> open = List.copyOf(links.values());
        closedLinks.stopping(open.size());
        open.forEach(PeerLink::close);
    }
}
