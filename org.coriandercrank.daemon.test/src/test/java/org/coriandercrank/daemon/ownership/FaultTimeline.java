package org.coriandercrank.daemon.ownership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Times of the faults of one run, drawn at random, and when the last of them ends. Not thread safe. */
final class FaultTimeline {
    static final long EARLIEST_MS = 8_000;
    static final int MAX_WINDOW_MS = 30_000;

    private final SimulatedCluster cluster;
    private final Random random;
    private final List<Long> drillTimesMs = new ArrayList<>();
    private long endMs = EARLIEST_MS;

    FaultTimeline(SimulatedCluster cluster, Random random) {
        this.cluster = cluster;
        this.random = random;
    }

    /** Schedules a fault that lasts for {@code lengthMs}; its end, if it needs one, is scheduled by the caller. */
    void at(long atMs, long lengthMs, String text, Runnable fault) {
        endMs = Math.max(endMs, atMs + lengthMs);
        cluster.time().schedule(atMs, () -> {
            cluster.trace().add(() -> "FAULT " + text);
            fault.run();
        });
    }

    /** Time in ms by which all faults have ended. */
    long endMs() {
        return endMs;
    }

    void addDrill(long atMs) {
        drillTimesMs.add(atMs);
    }

    long nearDrill() {
        if (drillTimesMs.isEmpty() || random.nextInt(4) == 0) {
            return anyTime();
        }
        long drillMs = drillTimesMs.get(random.nextInt(drillTimesMs.size()));
        return Math.max(2_000, drillMs + between(-2_000, 5_000));
    }

    long anyTime() {
        return EARLIEST_MS + between(0, MAX_WINDOW_MS);
    }

    List<SimulatedHost> someHosts(int count) {
        List<SimulatedHost> shuffled = new ArrayList<>(cluster.hosts());
        Collections.shuffle(shuffled, random);
        return shuffled.subList(0, Math.min(count, shuffled.size()));
    }

    /** Draws a number; both limits are included. */
    int between(int min, int max) {
        return min + random.nextInt(max - min + 1);
    }
}
