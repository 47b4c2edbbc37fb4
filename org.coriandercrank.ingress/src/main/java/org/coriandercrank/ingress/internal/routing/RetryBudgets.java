package org.coriandercrank.ingress.internal.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.coriandercrank.ingress.RetryBudgetOptions;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.ownership.RoutingSnapshot;
import org.coriandercrank.kernel.table.MemberState;

/** One retry budget per service, so that failures of a service do not use up the retries of others. Not thread safe. */
public final class RetryBudgets {
    private final RetryBudgetOptions options;
    private final Supplier<RoutingSnapshot> routing;
    private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();

    private RoutingSnapshot countedSnapshot;
    private int daemons;

    /** @param routing returns the current snapshot, which tells how many daemons share the limit on saved retries */
    public RetryBudgets(RetryBudgetOptions options, Supplier<RoutingSnapshot> routing) {
        this.options = options;
        this.routing = routing;
    }

    /** The budget of a service, created on first use. */
    RetryBudget forService(ServiceName service, long nowNanos) {
        return budgets.computeIfAbsent(service, name -> new RetryBudget(options, this::daemons, nowNanos));
    }

    /** Counts the daemons only when there is a new snapshot, because it is called for each request. */
    @SuppressWarnings("ReferenceEquality")
    private int daemons() {
        RoutingSnapshot snapshot = routing.get();
        if (snapshot != countedSnapshot) {
            countedSnapshot = snapshot;
            daemons = (int) snapshot.members().values().stream()
                    .filter(member -> member.member().state() != MemberState.SEALED)
                    .count();
        }
        return daemons;
    }
}
