package org.coriandercrank.placement;

import io.micrometer.core.instrument.MeterRegistry;
import org.coriandercrank.kernel.concurrent.SerialExecutor;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.ownership.RoutingView;
import org.coriandercrank.kernel.peer.PeerClient;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.time.TimerService;

/**
 * Collaborators of {@link Planner} and {@link RangeOwnership}, which do not close them. Immutable; all collaborators
 * are thread safe.
 *
 * @param self member id of this daemon
 * @param routingView current configuration, members and assignment tables
 * @param peerClient sends messages to other daemons
 * @param peerHandlers registry of the handlers for messages from other daemons
 * @param decisionLog log of placement decisions and of acquired and released ranges
 * @param executorFactory creates the serial executors of the planner and of range ownership
 */
public record PlacementDependencies(
        MemberId self,
        ObjectStore store,
        RoutingView routingView,
        PeerClient peerClient,
        PeerHandlers peerHandlers,
        TimerService timers,
        DecisionLog decisionLog,
        MeterRegistry meterRegistry,
        SerialExecutor.Factory executorFactory) {}
