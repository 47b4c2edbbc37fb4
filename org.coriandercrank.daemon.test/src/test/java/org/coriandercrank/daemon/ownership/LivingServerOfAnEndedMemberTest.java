package org.coriandercrank.daemon.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A member ends while its server lives and holds keys. If the releases of the member counted as done, or the next member
 * of the server sealed it, others would acquire keys that the server holds.
 */
class LivingServerOfAnEndedMemberTest {
    private static final long START_MS = 10_000;
    private static final long END_MS = 10_000;
    private static final int HOSTS = 5;
    private static final long SEEDS = 20;

    @BeforeAll
    static void silenceProduct() {
        Trace.silenceProduct();
    }

    /** The server announces that it is leaving, and stays after all while its keys move to others. */
    @ParameterizedTest
    @ValueSource(longs = {200, 400, 600, 800, 1_000, 1_500})
    void withdrawnLeaveBreaksNoRule(long withdrawnAfterMs) {
        List<Long> broken = LongStream.rangeClosed(1, SEEDS)
                .filter(seed -> !leaveAndStay(seed, withdrawnAfterMs, false)
                        .trace()
                        .violations()
                        .isEmpty())
                .boxed()
                .toList();
        assertThat(broken).isEmpty();
    }

    static SimulatedCluster leaveAndStay(long seed, long withdrawnAfterMs, boolean traced) {
        SimulatedCluster cluster = new SimulatedCluster(seed, traced);
        cluster.operator().writeNextVersion();
        for (int i = 0; i < HOSTS; i++) {
            cluster.addHost(true);
        }
        advance(cluster, START_MS);
        SimulatedHost host = cluster.hosts().get(0);
        host.announceLeaving();
        advance(cluster, withdrawnAfterMs);
        host.withdrawLeaving();
        advance(cluster, END_MS);
        return cluster;
    }

    private static void advance(SimulatedCluster cluster, long ms) {
        cluster.time().runUntil(() -> false, ms);
    }
}
