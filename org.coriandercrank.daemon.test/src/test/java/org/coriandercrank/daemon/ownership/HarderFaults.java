package org.coriandercrank.daemon.ownership;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.coriandercrank.kernel.id.HostAddress;

/**
 * Draws faults that strike many hosts at once, and faults that let only a part of the messages pass. Each ends by itself
 * and is one that hosts, networks and stores have. Not thread safe.
 */
final class HarderFaults {
    private static final int MIN_LENGTH_MS = 500;
    private static final int MAX_LENGTH_MS = 9_000;
    private static final int MAX_LATE_PEER_MESSAGE_MS = 4_000;
    private static final int MAX_WITHHELD_MS = 3_000;
    private static final int MAX_POWER_LOSS_MS = 2_000;
    private static final int MIN_POWER_LOSS_MS = 100;
    private static final int MIN_LONG_FREEZE_MS = 2_500;
    private static final int MAX_LONG_FREEZE_MS = 6_500;
    private static final int MIN_WITHDRAWAL_MS = 50;
    private static final int MAX_WITHDRAWAL_MS = 3_000;
    private static final int MAX_DRAINED = 3;

    private final SimulatedCluster cluster;
    private final FaultTimeline timeline;
    private final Random random;

    HarderFaults(SimulatedCluster cluster, FaultTimeline timeline, Random random) {
        this.cluster = cluster;
        this.timeline = timeline;
        this.random = random;
    }

    /** Schedules one fault, of any kind. */
    void scheduleOne() {
        long atMs = random.nextBoolean() ? timeline.nearDrill() : timeline.anyTime();
        long lengthMs = timeline.between(MIN_LENGTH_MS, MAX_LENGTH_MS);
        switch (random.nextInt(8)) {
            case 0 -> delayPeerMessages(atMs, lengthMs);
            case 1 -> cutOneWay(atMs, lengthMs);
            case 2 -> cutStoreAnswers(atMs, lengthMs);
            case 3 -> withholdChanges(atMs);
            case 4 -> losePower(atMs);
            case 5 -> freezeMany(atMs);
            case 6 -> withdrawDrains(atMs);
            default -> withdrawLeave(atMs);
        }
    }

    private void delayPeerMessages(long atMs, long lengthMs) {
        MessageDelays delays = new MessageDelays(0.02 + 0.2 * random.nextDouble(), MAX_LATE_PEER_MESSAGE_MS);
        timeline.at(
                atMs,
                lengthMs,
                "messages between daemons " + delays,
                () -> cluster.network().setDelays(delays));
        timeline.at(
                atMs + lengthMs,
                0,
                "messages between daemons in time",
                () -> cluster.network().setDelays(MessageDelays.NONE));
    }

    /** Loses the messages of some daemons to the others, which still reach them. */
    private void cutOneWay(long atMs, long lengthMs) {
        List<SimulatedHost> cut = timeline.someHosts(
                timeline.between(1, Math.max(1, cluster.hosts().size() - 1)));
        Set<HostAddress> addresses = cut.stream().map(SimulatedHost::address).collect(Collectors.toSet());
        timeline.at(
                atMs,
                lengthMs,
                "no message from " + cut + " to others",
                () -> cluster.network().setUnheard(addresses));
        timeline.at(
                atMs + lengthMs,
                0,
                "end of one-way cut",
                () -> cluster.network().setUnheard(Set.of()));
    }

    private void cutStoreAnswers(long atMs, long lengthMs) {
        List<SimulatedHost> cut = timeline.someHosts(timeline.between(1, allHosts()));
        timeline.at(
                atMs, lengthMs, "no answer of the store to " + cut, () -> cut.forEach(h -> h.setStoreAnswersCut(true)));
        timeline.at(atMs + lengthMs, 0, "end of cut of answers", () -> cut.forEach(h -> h.setStoreAnswersCut(false)));
    }

    private void withholdChanges(long atMs) {
        long lengthMs = timeline.between(MIN_LENGTH_MS, MAX_WITHHELD_MS);
        timeline.at(
                atMs, lengthMs, "watches show no change", () -> cluster.store().setChangesWithheld(true));
        timeline.at(
                atMs + lengthMs,
                0,
                "watches show changes",
                () -> cluster.store().setChangesWithheld(false));
    }

    /** Daemon and server of a host start again in either order. */
    private void losePower(long atMs) {
        for (SimulatedHost host : someOrAllHosts()) {
            boolean newId = random.nextInt(4) == 0;
            long daemonDownMs = timeline.between(MIN_POWER_LOSS_MS, MAX_POWER_LOSS_MS);
            long serverDownMs = timeline.between(MIN_POWER_LOSS_MS, MAX_POWER_LOSS_MS);
            timeline.at(atMs, MAX_POWER_LOSS_MS, "loss of power of " + host, host::losePower);
            timeline.at(atMs + daemonDownMs, 0, "start daemon of " + host, host::startDaemon);
            timeline.at(atMs + serverDownMs, 0, "start server of " + host, () -> host.startServer(newId));
        }
    }

    private void freezeMany(long atMs) {
        for (SimulatedHost host : timeline.someHosts(timeline.between(1, allHosts()))) {
            long lengthMs = timeline.between(MIN_LONG_FREEZE_MS, MAX_LONG_FREEZE_MS);
            timeline.at(atMs, lengthMs, "freeze " + host, host::freeze);
            timeline.at(atMs + lengthMs, 0, "resume " + host, host::resume);
        }
    }

    private void withdrawDrains(long atMs) {
        for (SimulatedHost host : timeline.someHosts(timeline.between(1, MAX_DRAINED))) {
            timeline.at(
                    atMs, 0, "drain server of " + host, () -> cluster.operator().drain(host.serverId()));
        }
        long lengthMs = timeline.between(MIN_WITHDRAWAL_MS, MAX_WITHDRAWAL_MS);
        timeline.at(atMs + lengthMs, 0, "withdraw drains", cluster.operator()::endDrains);
    }

    private void withdrawLeave(long atMs) {
        SimulatedHost host = timeline.someHosts(1).get(0);
        long lengthMs = timeline.between(MIN_WITHDRAWAL_MS, MAX_WITHDRAWAL_MS);
        timeline.at(atMs, lengthMs, "server leaves at " + host, host::announceLeaving);
        timeline.at(atMs + lengthMs, 0, "server stays at " + host, host::withdrawLeaving);
    }

    private List<SimulatedHost> someOrAllHosts() {
        return timeline.someHosts(random.nextBoolean() ? allHosts() : timeline.between(1, allHosts()));
    }

    private int allHosts() {
        return cluster.hosts().size();
    }
}
