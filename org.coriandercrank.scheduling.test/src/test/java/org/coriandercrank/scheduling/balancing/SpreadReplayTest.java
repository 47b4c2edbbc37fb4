package org.coriandercrank.scheduling.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumMap;
import java.util.Map;
import org.coriandercrank.ingress.internal.balancing.ExpectedTimePolicy;
import org.coriandercrank.ingress.internal.balancing.TwoChoicesPolicy;
import org.coriandercrank.kernel.placement.BalancingPolicy;
import org.coriandercrank.scheduling.balancing.BalancingReplay.Method;
import org.coriandercrank.scheduling.balancing.BalancingReplay.Result;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against daemons that overload servers in turn, because all of them choose the least loaded server of the same
 * old reports. Prints the figures of docs/design/even-load.md.
 */
class SpreadReplayTest {
    @ParameterizedTest
    @CsvSource({"12, 100", "12, 500", "12, 2000", "94, 100", "94, 500", "94, 2000", "300, 100", "300, 500", "300, 2000"
    })
    void loadStaysEvenWithOldReports(int choosers, int ageMs) {
        Map<Method, Result> results = new EnumMap<>(Method.class);
        for (Method method : Method.values()) {
            Result result = new BalancingReplay(
                            choosers, ageMs, method, policy(method), (chooser, server, nowMs, actual) -> actual)
                    .run();
            results.put(method, result);
            System.out.printf(
                    "choosers %d age %d ms %-13s wait p50 %.0f p99 %.0f ms, response p99 %.0f ms, busiest/mean %.2f,"
                            + " oscillations/min %.1f, refused %d, beside idle %d%n",
                    choosers,
                    ageMs,
                    method,
                    result.waitP50Ms(),
                    result.waitP99Ms(),
                    result.responseP99Ms(),
                    result.busiestOverMean(),
                    result.oscillationsPerMinute(),
                    result.refused(),
                    result.refusedBesideIdle());
        }
        assertThat(results.get(Method.SPREAD).refusedBesideIdle())
                .isLessThan(results.get(Method.EXPECTED_TIME).refusedBesideIdle());
    }

    static BalancingPolicy policy(Method method) {
        return switch (method) {
            case EXPECTED_TIME -> new ExpectedTimePolicy();
            case TWO_CHOICES -> new TwoChoicesPolicy();
            default -> new SpreadPolicy();
        };
    }
}
