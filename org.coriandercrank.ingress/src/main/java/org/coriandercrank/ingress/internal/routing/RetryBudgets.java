package org.coriandercrank.ingress.internal.routing;

import java.util.HashMap;
import java.util.Map;
import org.coriandercrank.ingress.RetryBudgetOptions;
import org.coriandercrank.kernel.id.ServiceName;

/** One retry budget per service, so that failures of a service do not use up the retries of others. Not thread safe. */
public final class RetryBudgets {
    private final RetryBudgetOptions options;
    private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();

    public RetryBudgets(RetryBudgetOptions options) {
        this.options = options;
    }

    /** The budget of a service, created on first use. */
    RetryBudget forService(ServiceName service, long nowNanos) {
        return budgets.computeIfAbsent(service, name -> new RetryBudget(options, nowNanos));
    }
}
