package org.coriandercrank.ingress.internal.balancing;

import org.coriandercrank.kernel.plugin.Plugin;
import org.coriandercrank.kernel.plugin.PluginRegistry;
import org.coriandercrank.kernel.plugin.PluginRegistry.Kind;
import org.coriandercrank.scheduling.balancing.SpreadPolicy;

/** Registers the load balancing policies of this module. Stateless. */
public final class BalancingPlugin implements Plugin {
    @Override
    public void register(PluginRegistry registry) {
        registry.register(Kind.BALANCING, "two-choices", new TwoChoicesPolicy());
        registry.register(Kind.BALANCING, "round-robin", new RoundRobinPolicy());
        registry.register(Kind.BALANCING, "expected-time", new ExpectedTimePolicy());
        registry.register(Kind.BALANCING, "least-in-flight", new LeastInFlightPolicy());
        registry.register(Kind.BALANCING, "spread", new SpreadPolicy());
    }
}
