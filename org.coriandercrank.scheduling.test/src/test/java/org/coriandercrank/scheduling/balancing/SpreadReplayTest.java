package org.coriandercrank.scheduling.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
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
    private static final long SEED = 11;
    private static final double WAIT_RATIO_AT_500_MS = 1.3;
    private static final double WAIT_RATIO_AT_2_S = 2;
    private static final Result ORACLE = replay(1, 100, Method.ORACLE);
    private static final Result RANDOM = replay(1, 100, Method.RANDOM);

    @ParameterizedTest
    @CsvSource({"12, 100", "12, 500", "12, 2000", "94, 100", "94, 500", "94, 2000", "300, 100", "300, 500", "300, 2000"
    })
    void loadStaysEvenWithOldReports(int choosers, int ageMs) {
        Result spread = replay(choosers, ageMs, Method.SPREAD);
        Result expectedTime = replay(choosers, ageMs, Method.EXPECTED_TIME);
        Result twoChoices = replay(choosers, ageMs, Method.TWO_CHOICES);
        double limitMs = ORACLE.waitP99Ms() * (ageMs > 500 ? WAIT_RATIO_AT_2_S : WAIT_RATIO_AT_500_MS);
        assertThat(spread.waitP99Ms()).isLessThan(limitMs);
        assertThat(spread.responseP99Ms() / ORACLE.responseP99Ms())
                .isLessThan(ageMs > 500 ? WAIT_RATIO_AT_2_S : WAIT_RATIO_AT_500_MS);
        for (Result other : List.of(expectedTime, RANDOM, twoChoices)) {
            assertThat(spread.waitP99Ms()).isLessThan(other.waitP99Ms());
        }
        assertThat(spread.refused()).isLessThan(Math.min(RANDOM.refused(), expectedTime.refused()));
    }

    private static Result replay(int choosers, int ageMs, Method method) {
        Result result = new BalancingReplay(
                        choosers, ageMs, method, policy(method), (chooser, server, nowMs, actual) -> actual, SEED)
                .run();
        System.out.printf(
                "choosers %d age %d ms %s: wait p50 %.0f p99 %.0f ms, response p99 %.0f ms, busiest/mean %.2f,"
                        + " oscillations/min %.1f, refused first %d, at last %d, beside idle %d%n",
                choosers,
                ageMs,
                method,
                result.waitP50Ms(),
                result.waitP99Ms(),
                result.responseP99Ms(),
                result.busiestOverMean(),
                result.oscillationsPerMinute(),
                result.firstRefused(),
                result.refused(),
                result.refusedBesideIdle());
        return result;
    }

    private static BalancingPolicy policy(Method method) {
        return switch (method) {
            case EXPECTED_TIME -> new ExpectedTimePolicy();
            case TWO_CHOICES -> new TwoChoicesPolicy();
            default -> new SpreadPolicy();
        };
    }
}
