package org.coriandercrank.control;

import io.micrometer.core.instrument.MeterRegistry;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.peer.PeerClient;
import org.coriandercrank.kernel.peer.PeerHandlers;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.time.TimerService;

/** What the control plane uses of its daemon; owned and closed by the daemon. Immutable. */
public record ControlServices(
        ObjectStore store,
        PeerClient peers,
        PeerHandlers handlers,
        TimerService timers,
        DecisionLog log,
        MeterRegistry metrics) {}
