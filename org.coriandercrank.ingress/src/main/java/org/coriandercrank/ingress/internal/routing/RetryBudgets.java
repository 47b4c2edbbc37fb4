package org.coriandercrank.ingress.internal.routing;

import java.util.HashMap;
import java.util.Map;
import org.coriandercrank.ingress.RetryBudgetOptions;
import org.coriandercrank.kernel.id.ServiceName;

/** Retry budgets by service, so that failures of one service take nothing from others. Not thread safe. */
public final class RetryBudgets {
    private final RetryBudgetOptions rules;
    private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();

    public RetryBudgets(RetryBudgetOptions rules) {
        this.rules = rules;
    }

    RetryBudget of(ServiceName service, long nowNanos) {
        return budgets.computeIfAbsent(service, name -> new RetryBudget(rules, nowNanos));
    }
}
