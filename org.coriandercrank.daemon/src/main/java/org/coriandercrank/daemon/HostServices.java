package org.coriandercrank.daemon;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;
import org.coriandercrank.kernel.log.DecisionLog;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.concurrent.SerialExecutor;
import org.coriandercrank.kernel.store.ObjectStore;
import org.coriandercrank.kernel.time.MonotonicClock;
import org.coriandercrank.kernel.time.TimerService;

/**
 * What a {@link DaemonHost} uses of its process, which closes it. Immutable.
 *
 * @param leaseClock clock of the own lease, see {@link org.coriandercrank.control.ControlDependencies}
 * @param executors makes the duties of the parts
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
        SerialExecutor.Factory executors) {}
