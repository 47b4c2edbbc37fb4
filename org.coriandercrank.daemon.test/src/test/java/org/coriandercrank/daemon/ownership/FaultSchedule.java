package org.coriandercrank.daemon.ownership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Draws random faults and schedules them in a cluster. Not thread safe. */
final class FaultSchedule {
    private static final long EARLIEST_MS = 8_000;
    private static final int MAX_WINDOW_MS = 30_000;
    private static final long REWRITE_MIN_MS = 300;
    private static final long SERVER_DRAIN_MS = 4_500;
    private static final int MAX_LATE_MS = 3_000;
    private static final int MAX_VERY_LATE_MS = 6_000;
    private static final int WITHIN_ACKNOWLEDGEMENT_MS = 990;

    private final SimulatedCluster cluster;
    private final FaultMix mix;
    private final Random random;
    private final List<Long> drillTimesMs = new ArrayList<>();
    private long endMs = EARLIEST_MS;

    FaultSchedule(SimulatedCluster cluster, FaultMix mix, Random random) {
        this.cluster = cluster;
        this.mix = mix;
        this.random = random;
    }

    /** Schedules the faults; returns the time in ms from now by which all have ended. */
    long schedule() {
        for (int i = between(2, 6); i > 0; i--) {
            at(between(3_000, MAX_WINDOW_MS), 0, "new configuration", cluster.operator()::writeNextVersion);
        }
        if (mix.hasDrills()) {
            scheduleDrills();
        }
        if (mix.hasRestarts()) {
            for (int i = between(1, 3); i > 0; i--) {
                scheduleRestart();
            }
        }
        if (mix.hasOthers()) {
            for (int i = between(1, 5); i > 0; i--) {
                scheduleOther();
            }
        }
        if (mix.hasLateMessages()) {
            scheduleLateMessages();
        }
        return endMs;
    }

    /** Delays messages between servers and daemons, and writes, all the time; pauses daemons without their servers. */
    private void scheduleLateMessages() {
        double share = 0.1 + 0.5 * random.nextDouble();
        int maxMs = random.nextBoolean() ? WITHIN_ACKNOWLEDGEMENT_MS : MAX_LATE_MS;
        MessageDelays delays = new MessageDelays(share, maxMs);
        at(EARLIEST_MS, MAX_WINDOW_MS, delays.toString(), () -> cluster.setHeartbeatDelays(delays));
        if (random.nextBoolean()) {
            storeFaults(EARLIEST_MS, MAX_WINDOW_MS, new SimulatedStoreClient.Faults(0, 0.3, MAX_VERY_LATE_MS));
        }
        for (int i = between(0, 3); i > 0; i--) {
            SimulatedHost host = someHosts(1).get(0);
            long atMs = anyTime();
            long lengthMs = between(300, 5_000);
            at(atMs, lengthMs, "pause daemon of " + host, host::pauseDaemon);
            at(atMs + lengthMs, 0, "resume daemon of " + host, host::resumeDaemon);
        }
    }

    private void scheduleDrills() {
        int count = between(1, 3);
        boolean inSeries = random.nextInt(3) == 0;
        boolean early = random.nextInt(8) == 0;
        long atMs = early ? between(2_000, 8_000) : EARLIEST_MS + between(0, MAX_WINDOW_MS / 2);
        for (int i = 0; i < count; i++) {
            drillTimesMs.add(atMs);
            long awayMs = between(0, 2_000);
            long copyAgeMs = between(500, 8_000);
            boolean silent = random.nextBoolean();
            long rewriteMs = REWRITE_MIN_MS + between(0, 1_500);
            at(atMs, awayMs, "drill, away " + awayMs + " ms, copy age " + copyAgeMs + " ms", () -> {
                if (!cluster.store().isAway()) {
                    cluster.store().returnFromOlderCopy(awayMs, copyAgeMs, silent);
                    cluster.time().schedule(awayMs + rewriteMs, cluster.operator()::write);
                }
            });
            atMs += awayMs + (inSeries ? between(300, 6_000) : between(6_000, 12_000));
        }
    }

    /** Kills one daemon, some or all, beside living servers; often soon before or after a drill. */
    private void scheduleRestart() {
        long atMs = nearDrill();
        int size = cluster.hosts().size();
        int count = switch (random.nextInt(3)) {
            case 0 -> 1;
            case 1 -> between(2, Math.max(2, size - 1));
            default -> size;
        };
        for (SimulatedHost host : someHosts(count)) {
            long killMs = atMs + between(0, 300);
            long downMs = between(200, 2_500);
            at(killMs, downMs, "kill daemon of " + host, host::killDaemon);
            at(killMs + downMs, 0, "start daemon of " + host, host::startDaemon);
        }
    }

    private long nearDrill() {
        if (drillTimesMs.isEmpty() || random.nextInt(4) == 0) {
            return anyTime();
        }
        long drillMs = drillTimesMs.get(random.nextInt(drillTimesMs.size()));
        return Math.max(2_000, drillMs + between(-2_000, 5_000));
    }

    private long anyTime() {
        return EARLIEST_MS + between(0, MAX_WINDOW_MS);
    }

    private void scheduleOther() {
        long atMs = random.nextBoolean() ? nearDrill() : anyTime();
        long lengthMs = between(500, 9_000);
        SimulatedHost host = someHosts(1).get(0);
        switch (random.nextInt(11)) {
            case 0 -> crashServer(host, atMs);
            case 1 -> {
                at(atMs, lengthMs, "freeze " + host, host::freeze);
                at(atMs + lengthMs, 0, "resume " + host, host::resume);
            }
            case 2 -> partition(atMs, lengthMs);
            case 3 -> cutOffFromStore(atMs, lengthMs);
            case 4 -> {
                at(
                        atMs,
                        lengthMs,
                        "drain server of " + host,
                        () -> cluster.operator().drain(host.serverId()));
                at(atMs + lengthMs, 0, "end drains", cluster.operator()::endDrains);
            }
            case 5 -> leave(host, atMs);
            case 6 -> at(atMs, 0, "new host", () -> cluster.addHost(true));
            case 7 -> {
                long awayMs = between(500, 6_000);
                boolean silent = random.nextBoolean();
                at(atMs, awayMs, "outage of the store of " + awayMs + " ms", () -> {
                    if (!cluster.store().isAway()) {
                        cluster.store().goAway(awayMs, silent);
                    }
                });
            }
            case 8 -> storeFaults(atMs, lengthMs, new SimulatedStoreClient.Faults(0, 0.3, MAX_LATE_MS));
            case 9 -> storeFaults(atMs, lengthMs, new SimulatedStoreClient.Faults(0.2, 0.1, MAX_LATE_MS));
            default -> {
                double loss = 0.02 + 0.2 * random.nextDouble();
                at(
                        atMs,
                        lengthMs,
                        "network loses " + loss,
                        () -> cluster.network().setLoss(loss));
                at(
                        atMs + lengthMs,
                        0,
                        "network loses 0",
                        () -> cluster.network().setLoss(0));
            }
        }
    }

    private void crashServer(SimulatedHost host, long atMs) {
        long downMs = between(300, 4_000);
        boolean underNewId = random.nextBoolean();
        at(atMs, downMs, "crash server of " + host, host::crashServer);
        at(atMs + downMs, 0, "start server of " + host, () -> host.startServer(underNewId));
    }

    private void leave(SimulatedHost host, long atMs) {
        long downMs = between(500, 3_000);
        at(atMs, SERVER_DRAIN_MS + downMs, "server leaves at " + host, host::announceLeaving);
        at(atMs + SERVER_DRAIN_MS, 0, "end server of " + host, host::crashServer);
        at(atMs + SERVER_DRAIN_MS + downMs, 0, "start server of " + host, () -> host.startServer(false));
    }

    private void partition(long atMs, long lengthMs) {
        List<SimulatedHost> half = someHosts(Math.max(1, cluster.hosts().size() / 2));
        at(
                atMs,
                lengthMs,
                "partition " + half,
                () -> half.forEach(h -> cluster.network().setGroup(h.address(), 1)));
        at(
                atMs + lengthMs,
                0,
                "end of partition",
                () -> half.forEach(h -> cluster.network().setGroup(h.address(), 0)));
    }

    private void cutOffFromStore(long atMs, long lengthMs) {
        List<SimulatedHost> cut = someHosts(between(1, cluster.hosts().size()));
        at(atMs, lengthMs, "cut off from the store " + cut, () -> cut.forEach(h -> h.setCutOffFromStore(true)));
        at(atMs + lengthMs, 0, "end of cut", () -> cut.forEach(h -> h.setCutOffFromStore(false)));
    }

    private void storeFaults(long atMs, long lengthMs, SimulatedStoreClient.Faults faults) {
        at(atMs, lengthMs, faults.toString(), () -> cluster.setStoreFaults(faults));
        at(atMs + lengthMs, 0, "end of store faults", () -> cluster.setStoreFaults(SimulatedStoreClient.Faults.NONE));
    }

    private List<SimulatedHost> someHosts(int count) {
        List<SimulatedHost> shuffled = new ArrayList<>(cluster.hosts());
        Collections.shuffle(shuffled, random);
        return shuffled.subList(0, Math.min(count, shuffled.size()));
    }

    private void at(long atMs, long lengthMs, String text, Runnable fault) {
        endMs = Math.max(endMs, atMs + lengthMs);
        cluster.time().schedule(atMs, () -> {
            cluster.trace().add(() -> "FAULT " + text);
            fault.run();
        });
    }

    private int between(int min, int max) {
        return min + random.nextInt(max - min + 1);
    }
}
