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

/** The open outgoing links of a daemon. Thread safe; at most one link per target. */
public final class LinkTable implements AutoCloseable {
    private final EventLoopGroup group;
    private final LinkSource source;
    private final PeerOptions options;
    private final TrafficMeter meter;
    private final Map<PeerTarget, PeerLink> links = new ConcurrentHashMap<>();

    public LinkTable(
            EventLoopGroup group, Supplier<MemberId> self, String localIp, PeerOptions options, MeterRegistry metrics) {
        this.group = group;
        this.source = new LinkSource(self, localIp);
        this.options = options;
        this.meter = new TrafficMeter(metrics);
        metrics.gaugeMapSize("crank.peer.links", List.of(), links);
    }

    /** The link to a target; opens one if there is none. */
    public PeerLink link(PeerTarget target) {
        return links.computeIfAbsent(target, this::open);
    }

    private PeerLink open(PeerTarget newTarget) {
        PeerLink link = new PeerLink(source, newTarget, options, meter, group.next(), () -> links.remove(newTarget));
        link.open();
        return link;
    }

    @Override
    public void close() {
        List.copyOf(links.values()).forEach(PeerLink::close);
    }
}
