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
 * What the control plane uses of its daemon; owned and closed by the daemon. Immutable.
 *
 * @param leaseClock clock of the own lease; it should count the time in which the host was suspended, because the votes
 *     of witnesses lapse in that time
 * @param executors makes the duty that the control plane runs on
 */
public record ControlDependencies(
        ObjectStore store,
        PeerClient peers,
        PeerHandlers handlers,
        TimerService timers,
        DecisionLog log,
        MeterRegistry metrics,
        MonotonicClock leaseClock,
        SerialExecutor.Factory executors) {
    /** Services whose own lease is measured by the clock of the timers. */
    public ControlDependencies(
            ObjectStore store,
            PeerClient peers,
            PeerHandlers handlers,
            TimerService timers,
            DecisionLog log,
            MeterRegistry metrics) {
        this(store, peers, handlers, timers, log, metrics, timers.clock(), SingleThreadExecutor::new);
    }
}
