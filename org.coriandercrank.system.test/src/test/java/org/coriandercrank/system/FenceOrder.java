package org.coriandercrank.system;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.coriandercrank.load.Execution;

/**
 * Finds keys that a server executed under a fence that is not above that of another server before. Stricter than {@code
 * FENCE_WENT_BACK}, which accepts two servers with the same fence. Stateless.
 */
final class FenceOrder {
    private FenceOrder() {}

    /** Returns a line for the first execution of each such key, server and fence; empty if there is none. */
    static List<String> violations(List<Execution> executions) {
        Map<String, List<Execution>> byKey = executions.stream()
                .filter(execution -> !execution.key().isEmpty())
                .sorted(Comparator.comparingLong(Execution::endNanos))
                .collect(Collectors.groupingBy(Execution::key, TreeMap::new, Collectors.toList()));
        List<String> lines = new ArrayList<>();
        byKey.forEach((key, ofKey) -> addViolations(key, ofKey, lines));
        return lines;
    }

    private static void addViolations(String key, List<Execution> ordered, List<String> lines) {
        Map<String, Long> highestFence = new HashMap<>();
        for (Execution execution : ordered) {
            highestFence.forEach((server, fence) -> {
                if (!server.equals(execution.server()) && fence >= execution.fence()) {
                    String line = key + ": " + execution.server() + " under fence " + execution.fence() + " after "
                            + server + " under fence " + fence;
                    if (!lines.contains(line)) {
                        lines.add(line);
                    }
                }
            });
            highestFence.merge(execution.server(), execution.fence(), Math::max);
        }
    }
}
