package org.coriandercrank.daemon.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A daemon restarts beside a server that is being drained and has its second member, after the sealed record of the first
 * one was deleted. If the daemon joined as the first member again and sealed the second one, others would acquire the
 * ranges of the second one while the server holds them.
 */
class LaterLifeRestartTest {
    private static final long START_MS = 10_000;
    private static final long CUT_MS = 9_000;
    private static final long RECORD_DELETED_MS = 75_000;
    private static final long DOWN_MS = 200;
    private static final long END_MS = 15_000;
    private static final int HOSTS = 5;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void restartBesideAServerWithASecondMemberBreaksNoRule(long seed) {
        SimulatedCluster cluster = run(seed, false);
        assertThat(cluster.trace().violations()).isEmpty();
    }

    static SimulatedCluster run(long seed, boolean traced) {
        SimulatedCluster cluster = new SimulatedCluster(seed, traced);
        cluster.operator().writeNextVersion();
        for (int i = 0; i < HOSTS; i++) {
            cluster.addHost(true);
        }
        SimulatedHost host = cluster.hosts().get(0);
        advance(cluster, START_MS);
        host.setCutOffFromStore(true);
        cluster.network().setGroup(host.address(), 1);
        advance(cluster, CUT_MS);
        cluster.heal();
        advance(cluster, RECORD_DELETED_MS);
        cluster.operator().drain(host.serverId());
        host.killDaemon();
        advance(cluster, DOWN_MS);
        host.startDaemon();
        advance(cluster, END_MS);
        return cluster;
    }

    private static void advance(SimulatedCluster cluster, long ms) {
        cluster.time().runUntil(() -> false, ms);
    }
}
