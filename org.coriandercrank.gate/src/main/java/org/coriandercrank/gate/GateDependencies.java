package org.coriandercrank.gate;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Objects;
import org.coriandercrank.kernel.concurrent.SerialExecutor;
import org.coriandercrank.kernel.concurrent.SingleThreadExecutor;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.ownership.LeaseView;
import org.coriandercrank.kernel.ownership.RequestQuarantine;
import org.coriandercrank.kernel.ownership.RoutingView;
import org.coriandercrank.kernel.time.MonotonicClock;
import org.coriandercrank.kernel.time.TimerService;
import org.coriandercrank.scheduling.link.Uplink;

/**
 * Collaborators of a {@link Gate}, which does not close them. Immutable.
 *
 * @param service the only service whose requests the gate admits
 * @param lease lease of this daemon; its times are read from the clock of {@code timers}
 * @param leaseClock clock that measures the age of a grant from the reading of the lease until the grant is sent;
 *     includes the time during which the host is suspended if the lease does
 * @param decisionLog log of the decisions of the gate
 * @param quarantine tells which requests the gate must not send
 * @param uplink link on which the answers of the gate leave the host
 * @param executorFactory creates the executor that runs all tasks of the gate
 */
public record GateDependencies(
        ServiceName service,
        RoutingView routingView,
        LeaseView lease,
        TimerService timers,
        MonotonicClock leaseClock,
        DecisionLog decisionLog,
        MeterRegistry meterRegistry,
        SerialExecutor.Factory executorFactory,
        RequestQuarantine quarantine,
        Uplink uplink) {
    public GateDependencies {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(routingView, "routingView");
        Objects.requireNonNull(lease, "lease");
        Objects.requireNonNull(timers, "timers");
        Objects.requireNonNull(leaseClock, "leaseClock");
        Objects.requireNonNull(decisionLog, "decisionLog");
        Objects.requireNonNull(meterRegistry, "meterRegistry");
        Objects.requireNonNull(executorFactory, "executorFactory");
        Objects.requireNonNull(quarantine, "quarantine");
        Objects.requireNonNull(uplink, "uplink");
    }

    /**
     * Creates the dependencies of a gate that runs on its own thread, quarantines no request, measures the age of its
     * grants on the clock of its timers, and does not know the rate of its link.
     */
    public GateDependencies(
            ServiceName service,
            RoutingView routingView,
            LeaseView lease,
            TimerService timers,
            DecisionLog decisionLog,
            MeterRegistry meterRegistry) {
        this(
                service,
                routingView,
                lease,
                timers,
                timers.clock(),
                decisionLog,
                meterRegistry,
                SingleThreadExecutor::new,
                RequestQuarantine.NONE,
                Uplink.UNLIMITED);
    }
}
