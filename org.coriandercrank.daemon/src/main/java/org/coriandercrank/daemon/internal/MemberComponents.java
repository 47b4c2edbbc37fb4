package org.coriandercrank.daemon.internal;

import org.coriandercrank.kernel.ownership.LeaseView;
import org.coriandercrank.kernel.ownership.OwnerGate;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.placement.PlacementDependencies;
import org.coriandercrank.placement.Planner;
import org.coriandercrank.placement.PlannerOptions;
import org.coriandercrank.placement.RangeOwnership;
import org.coriandercrank.placement.RangeOwnershipOptions;

/**
 * The components of a daemon that belong to one member id, so that no component of a sealed member can act under the
 * next id. Thread safe.
 */
public final class MemberComponents implements AutoCloseable {
    private final RangeOwnership ownership;
    private final Planner planner;

    public MemberComponents(
            PlacementDependencies placementDependencies,
            LeaseView lease,
            OwnerGate gate,
            PluginRegistry plugins,
            RangeOwnershipOptions ownershipOptions,
            PlannerOptions plannerOptions) {
        ownership = new RangeOwnership(placementDependencies, lease, gate, ownershipOptions);
        planner = new Planner(placementDependencies, plugins, plannerOptions);
    }

    public void start() {
        ownership.start();
        planner.start();
    }

    /** Gives up every range permanently. */
    public void seal() {
        ownership.seal();
    }

    public boolean holdsPlannerRole() {
        return planner.holdsRole();
    }

    @Override
    public void close() {
        planner.close();
        ownership.close();
    }
}
