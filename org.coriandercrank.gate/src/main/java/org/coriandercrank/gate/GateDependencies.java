package org.coriandercrank.gate;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Objects;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.ownership.LeaseView;
import org.coriandercrank.kernel.ownership.RoutingView;
import org.coriandercrank.kernel.concurrent.SerialExecutor;
import org.coriandercrank.kernel.concurrent.SingleThreadExecutor;
import org.coriandercrank.kernel.time.TimerService;

/**
 * The parts that a gate uses. Immutable.
 *
 * @param service the only service whose requests the gate admits
 * @param lease in the time of the clock of {@code timers}
 * @param duties makes the duty that the gate runs on
 */
public record GateDependencies(
        ServiceName service,
        RoutingView routing,
        LeaseView lease,
        TimerService timers,
        DecisionLog decisions,
        MeterRegistry meters,
        SerialExecutor.Factory duties) {
    public GateDependencies {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(routing, "routing");
        Objects.requireNonNull(lease, "lease");
        Objects.requireNonNull(timers, "timers");
        Objects.requireNonNull(decisions, "decisions");
        Objects.requireNonNull(meters, "meters");
        Objects.requireNonNull(duties, "duties");
    }

    /** Inputs of a gate with a thread of its own. */
    public GateDependencies(
            ServiceName service,
            RoutingView routing,
            LeaseView lease,
            TimerService timers,
            DecisionLog decisions,
            MeterRegistry meters) {
        this(service, routing, lease, timers, decisions, meters, SingleThreadExecutor::new);
    }
}
