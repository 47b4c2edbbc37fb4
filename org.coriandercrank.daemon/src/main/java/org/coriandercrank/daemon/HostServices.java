package org.coriandercrank.daemon;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;
import org.coriandercrank.kernel.concurrent.SerialExecutor;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.time.MonotonicClock;
import org.coriandercrank.kernel.time.TimerService;
import org.coriandercrank.scheduling.link.Uplink;

/**
 * Services of the process that a {@link DaemonHost} uses and does not close. Immutable.
 *
 * @param leaseClock clock that measures the lease of this daemon, see {@link org.coriandercrank.control.ControlDependencies}
 * @param uplink link of the host, shared by all that sends to other hosts
 * @param executors creates the executors of the components
 */
public record HostServices(
        EventLoopGroup group,
        TimerService timers,
        PluginRegistry plugins,
        ObjectStore store,
        MeterRegistry metrics,
        DecisionLog routingLog,
        DecisionLog placementLog,
        MonotonicClock leaseClock,
        Uplink uplink,
        SerialExecutor.Factory executors) {}
