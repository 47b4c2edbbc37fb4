package org.coriandercrank.ingress;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;
import java.util.Optional;
import org.coriandercrank.kernel.concurrent.SerialExecutor;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.ownership.ConfigurationProof;
import org.coriandercrank.kernel.ownership.OwnerGate;
import org.coriandercrank.kernel.ownership.RequestQuarantine;
import org.coriandercrank.kernel.ownership.RoutingView;
import org.coriandercrank.kernel.peer.PeerClient;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.time.MonotonicClock;
import org.coriandercrank.kernel.time.TimerService;
import org.coriandercrank.scheduling.link.Uplink;

/**
 * Collaborators of {@link Ingress}, which does not close them. Immutable.
 *
 * <p>The member id of this daemon is not among them. It is read from the routing snapshot, because it changes when a
 * sealed daemon joins again.
 *
 * @param ownerGate the gate of the backend server beside this daemon
 * @param protocol the caller protocol; empty for the native protocol of this project
 * @param executorFactory creates the executor that routes requests
 * @param quarantine tells which requests must not be sent to backend servers
 * @param configurationProof tells whether the configuration is recent enough to say that something is not in it
 * @param suspensionAwareClock measures the age of attempts; it should include the time in which the host is suspended
 * @param uplink link on which the responses to callers are sent
 */
public record IngressDependencies(
        EventLoopGroup ioGroup,
        RoutingView routingView,
        OwnerGate ownerGate,
        PeerClient peerClient,
        PeerHandlers peerHandlers,
        TimerService timers,
        PluginRegistry pluginRegistry,
        DecisionLog decisionLog,
        MeterRegistry meterRegistry,
        Region region,
        FailureDomain failureDomain,
        Optional<CallerProtocol> protocol,
        SerialExecutor.Factory executorFactory,
        RequestQuarantine quarantine,
        ConfigurationProof configurationProof,
        MonotonicClock suspensionAwareClock,
        Uplink uplink) {}
