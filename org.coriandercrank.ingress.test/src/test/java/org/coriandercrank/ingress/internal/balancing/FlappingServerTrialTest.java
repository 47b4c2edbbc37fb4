package org.coriandercrank.ingress.internal.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.Set;
import org.coriandercrank.ingress.OutlierDetectionOptions;
import org.coriandercrank.kernel.id.MemberId;
import org.junit.jupiter.api.Test;

/**
 * Compares outlier detection with two thresholds to a single threshold, deterministically. Four servers receive 200
 * requests/s in turn for ten minutes. One of them alternates between 2 s with 20% and 2 s with 95% successful requests.
 */
class FlappingServerTrialTest {
    private static final int MINUTES = 10;
    private static final int REQUEST_INTERVAL_MS = 5;
    private static final int PHASE_MS = 2_000;
    private static final MemberId FLAPPING = new MemberId("flapping");
    private static final List<MemberId> SERVERS =
            List.of(FLAPPING, new MemberId("b"), new MemberId("c"), new MemberId("d"));

    record Result(double exclusionsPerMinute, int failed, int requests) {}

    private static Result run(OutlierDetectionOptions options) {
        OutlierDetector detector = new OutlierDetector(options);
        detector.setServers(Set.copyOf(SERVERS));
        Random random = new Random(20);
        int failed = 0;
        int requests = 0;
        int nextServerIndex = 0;
        for (int nowMs = 0; nowMs < MINUTES * 60_000; nowMs += REQUEST_INTERVAL_MS) {
            long nowNanos = nowMs * 1_000_000L;
            boolean probe = detector.tryProbe(FLAPPING, nowNanos);
            MemberId server = probe ? FLAPPING : SERVERS.get(nextServerIndex++ % SERVERS.size());
            if (!probe && detector.isExcluded(server)) {
                server = SERVERS.get(1 + nextServerIndex % (SERVERS.size() - 1));
            }
            double successRate = nowMs / PHASE_MS % 2 == 0 ? 0.2 : 0.95;
            boolean success = !server.equals(FLAPPING) || random.nextDouble() < successRate;
            detector.recordResult(server, success, nowNanos);
            requests++;
            failed += success ? 0 : 1;
        }
        return new Result((double) detector.exclusionCount() / MINUTES, failed, requests);
    }

    @Test
    void twoThresholdsFlapLessAndFailFewerRequests() {
        OutlierDetectionOptions two = OutlierDetectionOptions.DEFAULTS;
        OutlierDetectionOptions one = new OutlierDetectionOptions(
                two.excludeBelowSuccessRate(),
                two.excludeBelowSuccessRate(),
                two.smoothingFactor(),
                two.minSamples(),
                two.probeIntervalMs(),
                two.maxExcludedShare());
        Result twoThresholds = run(two);
        Result oneThreshold = run(one);
        System.out.println("two thresholds: " + twoThresholds + ", one threshold: " + oneThreshold);

        assertThat(twoThresholds.exclusionsPerMinute()).isLessThan(oneThreshold.exclusionsPerMinute() / 2);
        assertThat(twoThresholds.failed()).isLessThan(oneThreshold.failed());
    }
}
