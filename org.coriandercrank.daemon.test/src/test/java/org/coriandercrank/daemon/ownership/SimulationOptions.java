package org.coriandercrank.daemon.ownership;

import java.util.Set;
import org.coriandercrank.control.ControlOptions;
import org.coriandercrank.daemon.MemberLifecycle;
import org.coriandercrank.gate.GateOptions;
import org.coriandercrank.kernel.table.BackendInfo.Capability;
import org.coriandercrank.placement.PlannerOptions;
import org.coriandercrank.placement.RangeOwnershipOptions;

/** Options of the simulated daemons, those of a daemon on the users' platform. Stateless. */
final class SimulationOptions {
    static final long TTL_MS = 3_600;

    static final Set<Capability> CAPABILITIES =
            Set.of(Capability.FENCE, Capability.VALIDITY, Capability.CANCEL, Capability.DEADLINE);

    static final ControlOptions CONTROL = ControlOptions.DEFAULTS
            .withLeaseTiming(TTL_MS, 800, 105)
            .withWatchWaits(2_000, 25_000, 8_000)
            .withWatchIntervals(250, 1_000);

    static final GateOptions GATE = GateOptions.DEFAULTS
            .withTickIntervals(20, 100)
            .withGrantTimings((int) TTL_MS, 2_500, 50, 30)
            .withSlowStartMs(0)
            .withParkingLimits(256, 1_000)
            .withRecordLimits(20_000, 4_000, 4_194_304);

    static final RangeOwnershipOptions OWNERSHIP = RangeOwnershipOptions.DEFAULTS;

    static final PlannerOptions PLANNER =
            new PlannerOptions(2_000, 5_000, 500, 60_000, 2, 500, 1_000, 2_000, 1_500, 60_000);

    static final MemberLifecycle.Timeouts LIFECYCLE = new MemberLifecycle.Timeouts(TTL_MS + 500, 8_000, 3_500);

    private SimulationOptions() {}
}
