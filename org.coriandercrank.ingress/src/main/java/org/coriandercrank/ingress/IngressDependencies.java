package org.coriandercrank.ingress;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;
import java.util.Optional;
import org.coriandercrank.kernel.concurrent.SerialExecutor;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.ownership.OwnerGate;
import org.coriandercrank.kernel.ownership.RoutingView;
import org.coriandercrank.kernel.peer.PeerClient;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.time.TimerService;

/**
 * Parts that the caller side uses; all stay the property of the creator. Immutable. The member id of this daemon is
 * read from the routing snapshot, because it changes when a sealed daemon joins again.
 *
 * @param protocol how callers write requests; empty for the product's own protocol
 * @param duties makes the duty that requests run on
 */
public record IngressDependencies(
        EventLoopGroup ioGroup,
        RoutingView view,
        OwnerGate gate,
        PeerClient peers,
        PeerHandlers handlers,
        TimerService timers,
        PluginRegistry plugins,
        DecisionLog decisions,
        MeterRegistry meters,
        Region region,
        FailureDomain failureDomain,
        Optional<CallerProtocol> protocol,
        SerialExecutor.Factory duties) {}
