package org.coriandercrank.daemon.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import org.coriandercrank.daemon.ServerIncarnation;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against two owners of a key after a heartbeat, well formed in all fields, of a server that is not there: the keys
 * of the sound server went to others while it held them, and it got none again.
 */
class FalseHeartbeatTest {
    /** Which server the heartbeat names. */
    enum Sender {
        OTHER_ID,
        OTHER_ID_BEFORE_THE_SERVER,
        SAME_ID
    }

    private static final int HOSTS = 5;
    private static final long SEEDS = 5;
    private static final long START_MS = 15_000;
    private static final long BETWEEN_MS = 4_000;

    /** Time within which the platform expects recovery. */
    private static final long RECOVERY_MS = 15_000;

    @BeforeAll
    static void silenceProduct() {
        Trace.silenceProduct();
    }

    @ParameterizedTest
    @EnumSource
    void keysOfTheSoundServerHaveOneOwner(Sender sender) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            check(sender, seed, false);
        }
    }

    /** A heartbeat that was sent before the daemon ended reaches its next process before those of the sound server. */
    @ParameterizedTest
    @EnumSource
    void keysHaveOneOwnerAfterALateHeartbeatAtARestartedDaemon(Sender sender) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            check(sender, seed, true);
        }
    }

    private static void check(Sender sender, long seed, boolean daemonRestarts) {
        SimulatedCluster cluster = new SimulatedCluster(seed, false);
        cluster.operator().writeNextVersion();
        for (int i = 0; i < HOSTS; i++) {
            cluster.addHost(true);
        }
        advance(cluster, START_MS);
        for (SimulatedHost host : cluster.hosts().subList(0, 2)) {
            if (daemonRestarts) {
                host.killDaemon();
                advance(cluster, 10);
                host.startDaemon();
            }
            host.sendHeartbeatOf(incarnation(sender, host, cluster.time().nowMs()));
            advance(cluster, BETWEEN_MS);
        }
        advance(cluster, RECOVERY_MS);
        assertThat(cluster.trace().violations()).as("seed %d", seed).isEmpty();
        assertThat(cluster.heldKeys().allHeld())
                .as("all keys held, seed %d", seed)
                .isTrue();
        assertThat(cluster.hosts()).as("seed %d", seed).allMatch(SimulatedHost::holdsKeys);
    }

    private static ServerIncarnation incarnation(Sender sender, SimulatedHost host, long nowMs) {
        return switch (sender) {
            case OTHER_ID -> new ServerIncarnation("other" + nowMs, nowMs);
            case OTHER_ID_BEFORE_THE_SERVER -> new ServerIncarnation("other" + nowMs, -1);
            case SAME_ID -> new ServerIncarnation(host.serverId(), nowMs);
        };
    }

    private static void advance(SimulatedCluster cluster, long ms) {
        cluster.time().runUntil(() -> false, ms);
    }
}
