package org.coriandercrank.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.coriandercrank.kernel.code.Outcome;
import org.coriandercrank.load.Violation.Kind;

/**
 * Compares the responses that callers received with the executions in the ledgers of the backend servers. Stateless.
 *
 * <p>The ledgers must be complete. The ownership checks are meaningful only for servers that check the fencing token
 * and the validity of grants.
 */
public final class HistoryChecker {
    private HistoryChecker() {}

    /** Returns all violations in a history; empty if there are none. */
    public static List<Violation> check(List<CallRecord> calls, List<Execution> executions) {
        List<Violation> violations = new ArrayList<>();
        checkOutcomes(calls, executions, violations);
        checkDuplicateExecutions(calls, executions, violations);
        executions.stream()
                .filter(execution -> !execution.key().isEmpty())
                .collect(Collectors.groupingBy(Execution::key))
                .values()
                .forEach(executionsOfKey -> checkOwnership(executionsOfKey, violations));
        return violations;
    }

    /** Performs only the checks that need no ledgers. */
    public static List<Violation> checkWithoutLedgers(List<CallRecord> calls) {
        List<Violation> violations = new ArrayList<>();
        calls.forEach(call -> checkForeignAnswer(call, violations));
        return violations;
    }

    private static void checkForeignAnswer(CallRecord call, List<Violation> violations) {
        if (call.foreignAnswer()) {
            violations.add(new Violation(Kind.FOREIGN_ANSWER, call.toString()));
        }
    }

    private static void checkOutcomes(List<CallRecord> calls, List<Execution> executions, List<Violation> violations) {
        Set<String> executedRequestIds =
                executions.stream().map(Execution::callerRequestId).collect(Collectors.toSet());
        Map<Long, Boolean> operationExecuted = new HashMap<>();
        for (CallRecord call : calls) {
            operationExecuted.merge(
                    call.operation(), executedRequestIds.contains(call.requestId()), Boolean::logicalOr);
        }
        for (CallRecord call : calls) {
            Outcome outcome = call.outcome().orElse(Outcome.UNKNOWN);
            checkForeignAnswer(call, violations);
            if (outcome == Outcome.NOT_RUN && executedRequestIds.contains(call.requestId())) {
                violations.add(new Violation(Kind.NOT_RUN_BUT_EXECUTED, call.toString()));
            }
            if (outcome == Outcome.RUN && !operationExecuted.get(call.operation())) {
                violations.add(new Violation(Kind.RUN_BUT_NOT_EXECUTED, call.toString()));
            }
        }
    }

    private static void checkDuplicateExecutions(
            List<CallRecord> calls, List<Execution> executions, List<Violation> violations) {
        Map<String, Long> operationsByRequestId = new HashMap<>();
        for (CallRecord call : calls) {
            if (!call.repeatable()) {
                operationsByRequestId.put(call.requestId(), call.operation());
            }
        }
        Set<Long> executedOperations = new HashSet<>();
        for (Execution execution : executions) {
            Long operation = operationsByRequestId.get(execution.callerRequestId());
            if (operation != null && !executedOperations.add(operation)) {
                violations.add(new Violation(Kind.EXECUTED_TWICE, execution.toString()));
            }
        }
    }

    private static void checkOwnership(List<Execution> executionsOfKey, List<Violation> violations) {
        List<Execution> ordered = new ArrayList<>(executionsOfKey);
        ordered.sort(Comparator.comparingLong(Execution::endNanos));
        long highestFence = 0;
        Map<String, Long> latestEndNanos = new HashMap<>();
        for (Execution execution : ordered) {
            if (execution.fence() < highestFence) {
                violations.add(new Violation(Kind.FENCE_WENT_BACK, execution + " after fence " + highestFence));
            }
            highestFence = Math.max(highestFence, execution.fence());
            latestEndNanos.forEach((server, endNanos) -> {
                if (!server.equals(execution.server()) && execution.startNanos() < endNanos) {
                    violations.add(new Violation(Kind.TWO_OWNERS, execution + " overlaps " + server));
                }
            });
            latestEndNanos.put(execution.server(), execution.endNanos());
        }
    }
}
