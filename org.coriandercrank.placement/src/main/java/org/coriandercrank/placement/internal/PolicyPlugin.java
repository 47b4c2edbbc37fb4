package org.coriandercrank.placement.internal;

import org.coriandercrank.kernel.plugin.Plugin;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.plugin.PluginRegistry.Kind;

/** Registers the placement policies under their names in the configuration. Stateless. */
public final class PolicyPlugin implements Plugin {
    @Override
    public void register(PluginRegistry registry) {
        registry.register(Kind.PLACEMENT, "availability", new RebalancePolicy(RebalanceParameters.AVAILABILITY));
        registry.register(Kind.PLACEMENT, "low-churn", new RebalancePolicy(RebalanceParameters.LOW_CHURN));
        registry.register(Kind.PLACEMENT, "striped", new StripePolicy());
        registry.register(Kind.PLACEMENT, "static", new StaticPolicy());
        registry.register(Kind.PLACEMENT, "greedy", new RebalancePolicy(RebalanceParameters.GREEDY));
    }
}
