package org.coriandercrank.control;

import io.micrometer.core.instrument.MeterRegistry;
import org.coriandercrank.kernel.concurrent.SerialExecutor;
import org.coriandercrank.kernel.concurrent.SingleThreadExecutor;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.peer.PeerClient;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.time.MonotonicClock;
import org.coriandercrank.kernel.time.TimerService;

/**
 * Collaborators of the control plane, which the daemon provides, owns and closes. Immutable.
 *
 * @param leaseClock clock that measures the own lease; it should include the time during which the host is suspended,
 *     because the votes of the witnesses expire during that time
 * @param executorFactory creates the executor that the control plane runs on
 */
public record ControlDependencies(
        ObjectStore store,
        PeerClient peerClient,
        PeerHandlers peerHandlers,
        TimerService timers,
        DecisionLog decisionLog,
        MeterRegistry meterRegistry,
        MonotonicClock leaseClock,
        SerialExecutor.Factory executorFactory) {
    /** Creates dependencies with the clock of the timers as lease clock and a thread for each executor. */
    public ControlDependencies(
            ObjectStore store,
            PeerClient peerClient,
            PeerHandlers peerHandlers,
            TimerService timers,
            DecisionLog decisionLog,
            MeterRegistry meterRegistry) {
        this(
                store,
                peerClient,
                peerHandlers,
                timers,
                decisionLog,
                meterRegistry,
                timers.clock(),
                SingleThreadExecutor::new);
    }
}
