package org.coriandercrank.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.coriandercrank.kernel.status.DaemonStatus;
import org.coriandercrank.load.LoadReport;
import org.coriandercrank.testkit.ClusterHost;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against network partitions that stop all owners of a region or let two servers execute the same key. */
class PartitionTest {
    private static final double SERVED_AGAIN_LIMIT_MS = 5_000;

    @TempDir
    Path directory;

    @Test
    void partitionBetweenRegionsStopsNoOwner() {
        try (TestCluster cluster = TestCluster.start(directory, "r1/a", "r1/a", "r1/b", "r2/c", "r2/c", "r2/d")) {
            BackgroundTraffic traffic = BackgroundTraffic.start(cluster, cluster.callerAddresses(), 12_000, 0);
            TestCluster.sleep(1_000);
            List<ClusterHost> firstRegion = cluster.hosts().subList(0, 3);
            List<ClusterHost> secondRegion = cluster.hosts().subList(3, 6);
            firstRegion.forEach(
                    one -> secondRegion.forEach(other -> cluster.localCluster().partition(one, other)));
            secondRegion.forEach(host -> host.storeProxy().blockBothDirections());
            TestCluster.sleep(6_000);

            for (ClusterHost host : cluster.hosts()) {
                DaemonStatus status = cluster.status(host);
                assertThat(status.leaseRemainingMs()).as(host.spec().name()).isPositive();
                assertThat(status.serving()).as(host.spec().name()).isNotEmpty();
            }
            cluster.localCluster().clearFaults();
            LoadReport report = traffic.finish();
            report.toLines().forEach(line -> System.out.println("region partition: " + line));
            assertThat(report.violations()).isEmpty();
        }
    }

    @Test
    void isolatedOwnerIsReplacedAndNeverExecutesBesideItsSuccessor() {
        try (TestCluster cluster = TestCluster.start(directory, "r1/a", "r1/a", "r1/b", "r1/b")) {
            ClusterHost isolated = cluster.host(0);
            BackgroundTraffic traffic =
                    BackgroundTraffic.start(cluster, cluster.callerAddresses().subList(1, 4), 15_000, 40);
            TestCluster.sleep(1_000);
            cluster.hosts()
                    .subList(1, 4)
                    .forEach(other -> cluster.localCluster().partition(isolated, other));
            isolated.storeProxy().blockBothDirections();
            TestCluster.sleep(8_000);
            cluster.localCluster().clearFaults();
            LoadReport report = traffic.finish();

            report.toLines().forEach(line -> System.out.println("isolated owner: " + line));
            assertThat(report.violations()).isEmpty();
            assertThat(report.longestGapMs()).isLessThanOrEqualTo(SERVED_AGAIN_LIMIT_MS);
        }
    }

    /**
     * Guards against refusals because many calls were lost at once and their repeats used up the retry budget. See
     * KNOWN-RED.txt: calls failed once on a busy machine.
     */
    @Tag("known-red")
    @Test
    void silentConnectionsDelayCallsByAtMostTheDetectionTime() {
        try (TestCluster cluster = TestCluster.start(directory, "r1/a", "r1/a", "r1/b")) {
            BackgroundTraffic traffic = BackgroundTraffic.start(cluster, cluster.callerAddresses(), 10_000, 0);
            for (int i = 0; i < 3; i++) {
                TestCluster.sleep(2_000);
                cluster.hosts().forEach(host -> host.peerProxy().silenceOpenConnections());
            }
            LoadReport report = traffic.finish();

            report.toLines().forEach(line -> System.out.println("silent connections: " + line));
            assertThat(report.violations()).isEmpty();
            assertThat(report.succeeded()).isEqualTo(report.calls());
        }
    }
}
