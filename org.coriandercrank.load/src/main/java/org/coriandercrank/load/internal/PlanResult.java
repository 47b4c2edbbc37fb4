package org.coriandercrank.load.internal;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.load.CallRecord;
import org.coriandercrank.load.Execution;
import org.coriandercrank.load.LoadReport;

/**
 * Calls of a finished load plan. Immutable.
 *
 * @param service name of the service; {@code total} for the merged calls of several services
 * @param startedNanos start of the run on the clock of the calls
 */
public record PlanResult(String service, long startedNanos, List<CallRecord> calls) {
    public PlanResult {
        calls = List.copyOf(calls);
    }

    /** Runs several plans concurrently. Blocks until all have ended. */
    public static List<PlanResult> runAll(
            EventLoopGroup eventLoopGroup,
            List<HostAddress> targets,
            List<LoadPlan> plans,
            LoadDriver.RequestFactory requestFactory) {
        ExecutorService executor = Executors.newFixedThreadPool(plans.size());
        try {
            List<CompletableFuture<PlanResult>> pendingResults = plans.stream()
                    .map(plan -> CompletableFuture.supplyAsync(
                            () -> run(eventLoopGroup, targets, plan, requestFactory), executor))
                    .toList();
            return pendingResults.stream().map(CompletableFuture::join).toList();
        } finally {
            executor.shutdown();
        }
    }

    private static PlanResult run(
            EventLoopGroup eventLoopGroup,
            List<HostAddress> targets,
            LoadPlan plan,
            LoadDriver.RequestFactory requestFactory) {
        try (LoadDriver driver = new LoadDriver(eventLoopGroup, targets, plan, requestFactory)) {
            List<CallRecord> calls = driver.run();
            return new PlanResult(plan.service(), driver.startedNanos(), calls);
        }
    }

    /** Merges several results and renumbers their operations, so that the operation numbers stay unique. */
    public static PlanResult merge(List<PlanResult> results) {
        List<CallRecord> mergedCalls = new ArrayList<>();
        long firstOperation = 0;
        for (PlanResult result : results) {
            long lastOperation = firstOperation;
            for (CallRecord call : result.calls) {
                CallRecord renumbered = call.withOperation(firstOperation + call.operation());
                mergedCalls.add(renumbered);
                lastOperation = Math.max(lastOperation, renumbered.operation());
            }
            firstOperation = lastOperation + 1;
        }
        long startedNanos =
                results.stream().mapToLong(PlanResult::startedNanos).min().orElseThrow();
        return new PlanResult("total", startedNanos, mergedCalls);
    }

    /** Returns those executions that belong to calls of this result. */
    public List<Execution> executionsOfCalls(List<Execution> executions) {
        Set<String> requestIds = new HashSet<>();
        calls.forEach(call -> requestIds.add(call.requestId()));
        return executions.stream()
                .filter(execution -> requestIds.contains(execution.callerRequestId()))
                .toList();
    }

    /** Creates a report. Without executions it contains only the checks that need no ledgers. */
    public LoadReport toReport(Optional<List<Execution>> executions) {
        return executions
                .map(availableExecutions -> LoadReport.of(startedNanos, calls, availableExecutions))
                .orElseGet(() -> LoadReport.withoutLedgers(startedNanos, calls));
    }
}
