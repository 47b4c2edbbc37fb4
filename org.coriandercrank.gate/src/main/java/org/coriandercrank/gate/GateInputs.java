package org.coriandercrank.gate;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Objects;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.ownership.LeaseView;
import org.coriandercrank.kernel.ownership.RoutingView;
import org.coriandercrank.kernel.time.TimerService;

/**
 * The parts that a gate uses. Immutable.
 *
 * @param service the only service whose requests the gate admits
 * @param lease in the time of the clock of {@code timers}
 */
public record GateInputs(
        ServiceName service,
        RoutingView routing,
        LeaseView lease,
        TimerService timers,
        DecisionLog decisions,
        MeterRegistry meters) {
    public GateInputs {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(routing, "routing");
        Objects.requireNonNull(lease, "lease");
        Objects.requireNonNull(timers, "timers");
        Objects.requireNonNull(decisions, "decisions");
        Objects.requireNonNull(meters, "meters");
    }
}
