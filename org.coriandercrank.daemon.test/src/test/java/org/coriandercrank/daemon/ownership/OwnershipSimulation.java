package org.coriandercrank.daemon.ownership;

import java.util.List;
import java.util.Random;

/** Runs one random schedule of faults against a cluster. Not thread safe. */
final class OwnershipSimulation {
    private static final long SETTLE_MS = 12_000;
    private static final long MAX_EXTRA_SETTLE_MS = 3_000;
    private static final int MIN_SERVERS = 4;
    private static final int MAX_SERVERS = 7;
    private static final int MAX_HOSTS_WITHOUT_SERVER = 2;
    private static final int MAX_START_MS = 300;

    private final SimulatedCluster cluster;
    private final Random random;
    private final FaultMix mix;

    OwnershipSimulation(long seed, FaultMix mix, boolean traced) {
        random = new Random(seed);
        cluster = new SimulatedCluster(random.nextLong(), traced);
        this.mix = mix;
    }

    Trace trace() {
        return cluster.trace();
    }

    /** Runs the schedule to its end and returns the violations. */
    List<Trace.Violation> run() {
        cluster.operator().writeNextVersion();
        int servers = MIN_SERVERS + random.nextInt(MAX_SERVERS - MIN_SERVERS + 1);
        int others = random.nextInt(MAX_HOSTS_WITHOUT_SERVER + 1);
        for (int i = 0; i < servers + others; i++) {
            cluster.addHost(i < servers);
            cluster.time().runUntil(() -> false, random.nextInt(MAX_START_MS));
        }
        long endMs = new FaultSchedule(cluster, mix, random).schedule();
        cluster.time().runUntil(() -> false, endMs);
        cluster.trace().add(() -> "END of faults");
        cluster.heal();
        cluster.time().runUntil(() -> false, SETTLE_MS);
        if (!cluster.time().runUntil(cluster.heldKeys()::allHeld, MAX_EXTRA_SETTLE_MS)) {
            cluster.trace()
                    .violation(
                            "UNSERVED", "no server holds " + cluster.heldKeys().unheld());
        }
        return cluster.trace().violations();
    }
}
