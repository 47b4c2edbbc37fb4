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
 * The components of the daemon that the planner and range ownership depend on. Immutable; all components are thread
 * safe.
 *
 * @param self member id of this daemon
 * @param view current configuration, members and assignment tables
 * @param peers sends messages to other daemons
 * @param handlers registry of the handlers for messages from other daemons
 * @param decisionLog log of placement decisions and of acquired and released ranges
 * @param executors creates the serial executors of the planner and of range ownership
 */
public record PlacementContext(
        MemberId self,
        ObjectStore store,
        RoutingView view,
        PeerClient peers,
        PeerHandlers handlers,
        TimerService timers,
        DecisionLog decisionLog,
        MeterRegistry meters,
        SerialExecutor.Factory executors) {}
