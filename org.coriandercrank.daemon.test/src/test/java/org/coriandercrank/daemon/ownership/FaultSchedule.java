package org.coriandercrank.daemon.ownership;

import java.util.List;
import java.util.Random;

/** Draws random faults and schedules them in a cluster. Not thread safe. */
final class FaultSchedule {
    private static final long REWRITE_MIN_MS = 300;
    private static final long SERVER_DRAIN_MS = 4_500;
    private static final int MAX_LATE_MS = 3_000;
    private static final int MAX_VERY_LATE_MS = 6_000;
    private static final int WITHIN_ACKNOWLEDGEMENT_MS = 990;

    private final SimulatedCluster cluster;
    private final FaultMix mix;
    private final Random random;
    private final FaultTimeline timeline;

    FaultSchedule(SimulatedCluster cluster, FaultMix mix, Random random) {
        this.cluster = cluster;
        this.mix = mix;
        this.random = random;
        timeline = new FaultTimeline(cluster, random);
    }

    /** Schedules the faults; returns the time in ms from now by which all have ended. */
    long schedule() {
        for (int i = timeline.between(2, 6); i > 0; i--) {
            timeline.at(
                    timeline.between(3_000, FaultTimeline.MAX_WINDOW_MS),
                    0,
                    "new configuration",
                    cluster.operator()::writeNextVersion);
        }
        if (mix.hasDrills()) {
            scheduleDrills();
        }
        if (mix.hasRestarts()) {
            for (int i = timeline.between(1, 3); i > 0; i--) {
                scheduleRestart();
            }
        }
        if (mix.hasOthers()) {
            int count = mix.hasHarder() ? timeline.between(3, 10) : timeline.between(1, 5);
            for (int i = count; i > 0; i--) {
                scheduleOther();
            }
        }
        if (mix.hasHarder()) {
            HarderFaults harder = new HarderFaults(cluster, timeline, random);
            for (int i = timeline.between(2, 8); i > 0; i--) {
                harder.scheduleOne();
            }
        }
        if (mix.hasLateMessages()) {
            scheduleLateMessages();
        }
        return timeline.endMs();
    }

    /** Delays messages between servers and daemons, and writes, all the time; pauses daemons without their servers. */
    private void scheduleLateMessages() {
        double share = 0.1 + 0.5 * random.nextDouble();
        int maxMs = random.nextBoolean() ? WITHIN_ACKNOWLEDGEMENT_MS : MAX_LATE_MS;
        MessageDelays delays = new MessageDelays(share, maxMs);
        timeline.at(
                FaultTimeline.EARLIEST_MS,
                FaultTimeline.MAX_WINDOW_MS,
                delays.toString(),
                () -> cluster.setHeartbeatDelays(delays));
        if (random.nextBoolean()) {
            storeFaults(
                    FaultTimeline.EARLIEST_MS,
                    FaultTimeline.MAX_WINDOW_MS,
                    new SimulatedStoreClient.Faults(0, 0.3, MAX_VERY_LATE_MS));
        }
        for (int i = timeline.between(0, 3); i > 0; i--) {
            SimulatedHost host = timeline.someHosts(1).get(0);
            long atMs = timeline.anyTime();
            long lengthMs = timeline.between(300, 5_000);
            timeline.at(atMs, lengthMs, "pause daemon of " + host, host::pauseDaemon);
            timeline.at(atMs + lengthMs, 0, "resume daemon of " + host, host::resumeDaemon);
        }
    }

    private void scheduleDrills() {
        int count = timeline.between(1, 3);
        boolean inSeries = random.nextInt(3) == 0;
        boolean early = random.nextInt(8) == 0;
        long atMs = early
                ? timeline.between(2_000, 8_000)
                : FaultTimeline.EARLIEST_MS + timeline.between(0, FaultTimeline.MAX_WINDOW_MS / 2);
        for (int i = 0; i < count; i++) {
            timeline.addDrill(atMs);
            long awayMs = timeline.between(0, 2_000);
            long copyAgeMs = timeline.between(500, 8_000);
            boolean silent = random.nextBoolean();
            long rewriteMs = REWRITE_MIN_MS + timeline.between(0, 1_500);
            timeline.at(atMs, awayMs, "drill, away " + awayMs + " ms, copy age " + copyAgeMs + " ms", () -> {
                if (!cluster.store().isAway()) {
                    cluster.store().returnFromOlderCopy(awayMs, copyAgeMs, silent);
                    cluster.time().schedule(awayMs + rewriteMs, cluster.operator()::write);
                }
            });
            atMs += awayMs + (inSeries ? timeline.between(300, 6_000) : timeline.between(6_000, 12_000));
        }
    }

    /** Kills one daemon, some or all, beside living servers; often soon before or after a drill. */
    private void scheduleRestart() {
        long atMs = timeline.nearDrill();
        int size = cluster.hosts().size();
        int count = switch (random.nextInt(3)) {
            case 0 -> 1;
            case 1 -> timeline.between(2, Math.max(2, size - 1));
            default -> size;
        };
        for (SimulatedHost host : timeline.someHosts(count)) {
            long killMs = atMs + timeline.between(0, 300);
            long downMs = timeline.between(200, 2_500);
            timeline.at(killMs, downMs, "kill daemon of " + host, host::killDaemon);
            timeline.at(killMs + downMs, 0, "start daemon of " + host, host::startDaemon);
        }
    }

    private void scheduleOther() {
        long atMs = random.nextBoolean() ? timeline.nearDrill() : timeline.anyTime();
        long lengthMs = timeline.between(500, 9_000);
        SimulatedHost host = timeline.someHosts(1).get(0);
        switch (random.nextInt(11)) {
            case 0 -> crashServer(host, atMs);
            case 1 -> {
                timeline.at(atMs, lengthMs, "freeze " + host, host::freeze);
                timeline.at(atMs + lengthMs, 0, "resume " + host, host::resume);
            }
            case 2 -> partition(atMs, lengthMs);
            case 3 -> cutOffFromStore(atMs, lengthMs);
            case 4 -> {
                timeline.at(
                        atMs,
                        lengthMs,
                        "drain server of " + host,
                        () -> cluster.operator().drain(host.serverId()));
                timeline.at(atMs + lengthMs, 0, "end drains", cluster.operator()::endDrains);
            }
            case 5 -> leave(host, atMs);
            case 6 -> timeline.at(atMs, 0, "new host", () -> cluster.addHost(true));
            case 7 -> {
                long awayMs = timeline.between(500, 6_000);
                boolean silent = random.nextBoolean();
                timeline.at(atMs, awayMs, "outage of the store of " + awayMs + " ms", () -> {
                    if (!cluster.store().isAway()) {
                        cluster.store().goAway(awayMs, silent);
                    }
                });
            }
            case 8 -> storeFaults(atMs, lengthMs, new SimulatedStoreClient.Faults(0, 0.3, MAX_LATE_MS));
            case 9 -> storeFaults(atMs, lengthMs, new SimulatedStoreClient.Faults(0.2, 0.1, MAX_LATE_MS));
            default -> {
                double loss = 0.02 + 0.2 * random.nextDouble();
                timeline.at(
                        atMs,
                        lengthMs,
                        "network loses " + loss,
                        () -> cluster.network().setLoss(loss));
                timeline.at(
                        atMs + lengthMs,
                        0,
                        "network loses 0",
                        () -> cluster.network().setLoss(0));
            }
        }
    }

    private void crashServer(SimulatedHost host, long atMs) {
        long downMs = timeline.between(300, 4_000);
        boolean underNewId = random.nextBoolean();
        timeline.at(atMs, downMs, "crash server of " + host, host::crashServer);
        timeline.at(atMs + downMs, 0, "start server of " + host, () -> host.startServer(underNewId));
    }

    private void leave(SimulatedHost host, long atMs) {
        long downMs = timeline.between(500, 3_000);
        timeline.at(atMs, SERVER_DRAIN_MS + downMs, "server leaves at " + host, host::announceLeaving);
        timeline.at(atMs + SERVER_DRAIN_MS, 0, "end server of " + host, () -> endServer(host));
        timeline.at(atMs + SERVER_DRAIN_MS + downMs, 0, "start server of " + host, () -> host.startServer(false));
    }

    private void endServer(SimulatedHost host) {
        if (mix.hasHarder()) {
            host.endServer();
        } else {
            // Runs of these mixes have seeds that tests name; there a frozen server goes on leaving after it resumes.
            host.crashServer();
        }
    }

    private void partition(long atMs, long lengthMs) {
        List<SimulatedHost> half =
                timeline.someHosts(Math.max(1, cluster.hosts().size() / 2));
        timeline.at(
                atMs,
                lengthMs,
                "partition " + half,
                () -> half.forEach(h -> cluster.network().setGroup(h.address(), 1)));
        timeline.at(
                atMs + lengthMs,
                0,
                "end of partition",
                () -> half.forEach(h -> cluster.network().setGroup(h.address(), 0)));
    }

    private void cutOffFromStore(long atMs, long lengthMs) {
        List<SimulatedHost> cut =
                timeline.someHosts(timeline.between(1, cluster.hosts().size()));
        timeline.at(
                atMs, lengthMs, "cut off from the store " + cut, () -> cut.forEach(h -> h.setCutOffFromStore(true)));
        timeline.at(atMs + lengthMs, 0, "end of cut", () -> cut.forEach(h -> h.setCutOffFromStore(false)));
    }

    private void storeFaults(long atMs, long lengthMs, SimulatedStoreClient.Faults faults) {
        timeline.at(atMs, lengthMs, faults.toString(), () -> cluster.setStoreFaults(faults));
        timeline.at(
                atMs + lengthMs,
                0,
                "end of store faults",
                () -> cluster.setStoreFaults(SimulatedStoreClient.Faults.NONE));
    }
}
