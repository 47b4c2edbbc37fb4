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
 * The parts of the daemon that placement works with. Immutable; all parts are thread safe.
 *
 * @param executors makes the duties that placement runs on
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
