package org.coriandercrank.control.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.coriandercrank.control.ControlOptions;
import org.coriandercrank.kernel.config.AcceptedNote;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.NoteId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against daemons that act on an older configuration because they wait for an answer of the store that was lost on
 * a connection that stays open. Virtual time.
 */
class LostStoreAnswersTest {
    /** Time after its confirmation at which a configuration must be in force on all hosts. */
    private static final long IN_FORCE_LIMIT_MS = 2_500;

    private static final long GIVE_UP_MS = 40_000;
    private static final long JOIN_TIME_MS = 1_000;

    /** Times after a restart of all hosts. Watches of the configuration wait 25 s, the first ones from the start on. */
    private static final int[] FAULT_AT_S = {5, 12, 30, 45, 70};

    /** The options of the users' platform. */
    private static final ControlOptions OPTIONS = ControlOptions.DEFAULTS
            .withLeaseTiming(3_600, 800, 105)
            .withWatchWaits(2_000, 25_000, 8_000)
            .withWatchIntervals(250, 1_000);

    /** What goes wrong before a change, which is made while the store answers. */
    enum Fault {
        NONE,
        ANSWERS_LOST_AT_THE_CHANGE,
        ANSWERS_LOST_ONE_SECOND_BEFORE,
        SILENT_FOR_A_SECOND,
        SILENT_FOR_SIX_SECONDS,
        RELAYS_KILLED,
        RELAYS_CUT_OFF,
        ANSWERS_LOST_THEN_RELAYS_KILLED,
        ANSWERS_LOST_LONG_BEFORE_RELAYS_ARE_KILLED
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void changeIsInForceOnSixteenHostsOfOneRegion(Fault fault) {
        assertInForceInTime(fault, 16, 1);
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void changeIsInForceOnThirtyTwoHostsOfFourRegions(Fault fault) {
        assertInForceInTime(fault, 32, 4);
    }

    private static void assertInForceInTime(Fault fault, int hosts, int regions) {
        List<Long> tookMs = IntStream.of(FAULT_AT_S)
                .mapToObj(atS -> playAndMeasure(fault, hosts, regions, atS))
                .toList();
        System.out.printf("in force after: fault=%s hosts=%d regions=%d ms=%s%n", fault, hosts, regions, tookMs);
        assertThat(tookMs).allSatisfy(ms -> assertThat(ms).isBetween(0L, IN_FORCE_LIMIT_MS));
    }

    private static long playAndMeasure(Fault fault, int hosts, int regions, int faultAtS) {
        FakeCluster cluster = new FakeCluster(locations(hosts, regions));
        List<MemberId> previous =
                cluster.hosts().stream().map(host -> host.control().self()).toList();
        cluster.restartAll(OPTIONS, locations(hosts, regions));
        cluster.time().runFor(JOIN_TIME_MS);
        previous.forEach(cluster::seal);
        cluster.time().runFor(faultAtS * 1_000L - JOIN_TIME_MS);
        play(fault, cluster);
        return changeAndWait(cluster);
    }

    private static void play(Fault fault, FakeCluster cluster) {
        switch (fault) {
            case NONE -> {}
            case ANSWERS_LOST_AT_THE_CHANGE -> silence(cluster, 1);
            case ANSWERS_LOST_ONE_SECOND_BEFORE -> {
                silence(cluster, 400);
                cluster.time().runFor(1_000);
            }
            case SILENT_FOR_A_SECOND -> silence(cluster, 1_000);
            case SILENT_FOR_SIX_SECONDS -> silence(cluster, 6_000);
            case RELAYS_KILLED -> killRelays(cluster);
            case RELAYS_CUT_OFF -> relays(cluster).forEach(relay -> relay.setDisconnected(true));
            case ANSWERS_LOST_THEN_RELAYS_KILLED -> {
                silence(cluster, 600);
                killRelays(cluster);
                cluster.time().runFor(500);
            }
            case ANSWERS_LOST_LONG_BEFORE_RELAYS_ARE_KILLED -> {
                silence(cluster, 600);
                cluster.time().runFor(6_000);
                killRelays(cluster);
            }
        }
    }

    private static void silence(FakeCluster cluster, long forMs) {
        cluster.store().setMode(FakeStore.Mode.SILENT);
        // Watches are polled every 10 ms, and each loses its answer at the next poll.
        cluster.time().runFor(Math.max(forMs, 20));
        cluster.store().setMode(FakeStore.Mode.UP);
    }

    private static List<FakeHost> relays(FakeCluster cluster) {
        return cluster.hosts().stream()
                .filter(host -> host.control().status().relay())
                .toList();
    }

    private static void killRelays(FakeCluster cluster) {
        List<FakeHost> relays = relays(cluster);
        relays.forEach(FakeHost::kill);
        cluster.hosts().removeAll(relays);
    }

    private static long changeAndWait(FakeCluster cluster) {
        Configuration changed = new Configuration(
                List.of(), List.of(), List.of(new AcceptedNote(new NoteId("note"), Revision.NONE, List.of())));
        Revision revision = cluster.store().putUnconditionally(ObjectNames.CONFIGURATION, JsonCodec.encode(changed));
        return cluster.time()
                .runUntil(
                        () -> cluster.hosts().stream()
                                .allMatch(host -> host.control()
                                        .routing()
                                        .current()
                                        .configurationRevision()
                                        .equals(revision)),
                        GIVE_UP_MS);
    }

    private static String[] locations(int hosts, int regions) {
        return IntStream.range(0, hosts)
                .mapToObj(i -> "r" + i % regions + "/d" + i / regions % 2)
                .toArray(String[]::new);
    }
}
