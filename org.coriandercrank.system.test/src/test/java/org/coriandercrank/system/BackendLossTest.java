package org.coriandercrank.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.coriandercrank.load.LoadReport;
import org.coriandercrank.testkit.ClusterHost;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against keys that stay with a backend server that is gone, and against a planner that gives it further keys,
 * while the daemon beside it and the store live.
 */
class BackendLossTest {
    private static final double SERVED_AGAIN_LIMIT_MS = 5_000;
    private static final long BEFORE_MS = 1_500;
    private static final long DURATION_MS = 10_000;

    /** What happens to the backend server of the first host. */
    enum Loss {
        KILLED {
            @Override
            void strike(ClusterHost host) {
                host.backend().kill();
            }
        },
        SILENT {
            @Override
            void strike(ClusterHost host) {
                host.backend().freeze();
            }
        },
        KILLED_AND_RESTARTED_AT_ONCE {
            @Override
            void strike(ClusterHost host) {
                host.backend().kill();
                host.startBackend(TestCluster.DEFAULT_BACKEND_FLAGS);
            }
        };

        abstract void strike(ClusterHost host);
    }

    @TempDir
    Path directory;

    @ParameterizedTest
    @EnumSource
    void keysOfALostServerAreServedElsewhere(Loss loss) {
        try (TestCluster site = TestCluster.start(directory, "r1/a", "r1/a", "r1/b", "r1/b", "r1/b")) {
            ClusterHost struck = site.host(0);
            Traffic traffic = Traffic.start(site, site.callerAddresses(), DURATION_MS, 40);
            TestCluster.sleep(BEFORE_MS);
            loss.strike(struck);
            LoadReport report = traffic.finish();

            report.toLines().forEach(line -> System.out.println(loss + ": " + line));
            assertThat(report.violations()).isEmpty();
            assertThat(report.longestGapMs()).isLessThanOrEqualTo(SERVED_AGAIN_LIMIT_MS);
            if (loss != Loss.KILLED_AND_RESTARTED_AT_ONCE) {
                assertThat(site.status(struck).serving()).isEmpty();
                assertThat(site.status(struck).backendName()).isEmpty();
            }
        }
    }

    /** A server that comes back after its ranges went elsewhere must get ranges again. */
    @ParameterizedTest
    @EnumSource(names = {"KILLED", "SILENT"})
    void returningServerGetsKeysAgain(Loss loss) {
        try (TestCluster site = TestCluster.start(directory, "r1/a", "r1/b", "r1/b")) {
            ClusterHost struck = site.host(0);
            loss.strike(struck);
            site.waitUntil(
                    "the lost server has no ranges",
                    () -> site.status(struck).serving().isEmpty()
                            && site.status(struck).backendName().isEmpty());
            if (loss == Loss.SILENT) {
                struck.backend().resume();
            } else {
                struck.startBackend(TestCluster.DEFAULT_BACKEND_FLAGS);
            }
            site.waitUntil(
                    "the returned server serves ranges",
                    () -> !site.status(struck).serving().isEmpty());
        }
    }
}
