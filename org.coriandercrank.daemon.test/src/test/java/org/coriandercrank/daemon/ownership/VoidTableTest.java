package org.coriandercrank.daemon.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.TableCodec;
import org.coriandercrank.kernel.table.AssignmentTable;
import org.coriandercrank.kernel.table.RangeAssignment;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A table of an earlier era takes effect after the return of the store, and gives every range to another member under a
 * fence that was given out before. If a daemon acted on it, two servers would hold a key, or a fence would not rise.
 */
class VoidTableTest {
    /** Daemons that start without any memory when the void table has taken effect. */
    enum Restart {
        NONE,
        ONE,
        ALL
    }

    private static final long START_MS = 12_000;
    private static final long MOVE_MS = 5_000;
    private static final long AWAY_MS = 200;
    private static final long COPY_AGE_MS = 1_000;
    private static final long END_MS = 25_000;
    private static final int HOSTS = 5;
    private static final long SEEDS = 2;

    @BeforeAll
    static void silenceProduct() {
        Trace.silenceProduct();
    }

    /**
     * @param afterReturnMs when the void table takes effect: before the first table of the era or after it
     * @param ahead by how much the generation of the void table is above that of the newest table of its era
     */
    @ParameterizedTest
    @CsvSource({
        "100, 0, NONE",
        "100, 0, ONE",
        "100, 0, ALL",
        "100, 1, NONE",
        "100, 1, ONE",
        "100, 1, ALL",
        "12000, 0, NONE",
        "12000, 0, ONE",
        "12000, 1, NONE",
        "12000, 1, ONE"
    })
    void nobodyActsOnAVoidTable(long afterReturnMs, int ahead, Restart restart) {
        assertThat(violations(afterReturnMs, ahead, restart)).isEmpty();
    }

    /** See KNOWN-RED.txt: the void table replaces one of the present era, which no daemon remembers. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    @Tag("known-red")
    void fencesRiseAlthoughNoDaemonRemembersTheReplacedTable(int ahead) {
        assertThat(violations(12_000, ahead, Restart.ALL)).isEmpty();
    }

    private static List<String> violations(long afterReturnMs, int ahead, Restart restart) {
        List<String> broken = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            long shownSeed = seed;
            SimulatedCluster cluster = run(seed, afterReturnMs, ahead, restart, false);
            // The test itself writes a void table that gives fences out again.
            cluster.trace().violations().stream()
                    .filter(violation -> !violation.rule().equals(HeldKeys.FENCE_TWICE))
                    .forEach(violation -> broken.add(shownSeed + ": " + violation));
            if (!cluster.heldKeys().allHeld()) {
                broken.add(seed + ": UNSERVED " + cluster.heldKeys().unheld());
            }
        }
        return broken;
    }

    static SimulatedCluster run(long seed, long afterReturnMs, int ahead, Restart restart, boolean traced) {
        SimulatedCluster cluster = new SimulatedCluster(seed, traced);
        cluster.operator().writeNextVersion();
        for (int i = 0; i < HOSTS; i++) {
            cluster.addHost(true);
        }
        advance(cluster, START_MS);
        moveRanges(cluster, cluster.hosts().get(0));
        AssignmentTable newest = storedTable(cluster);
        cluster.store().returnFromOlderCopy(AWAY_MS, COPY_AGE_MS, false);
        advance(cluster, AWAY_MS + afterReturnMs / 2);
        SimulatedHost second = cluster.hosts().get(1);
        second.crashServer();
        advance(cluster, afterReturnMs / 2);
        AssignmentTable late = voidTable(newest, ahead);
        assertThat(cluster.store().era().isNewerThan(late.generation().era())).isTrue();
        String name = ObjectNames.assignments(SimulatedCluster.SERVICE);
        cluster.store()
                .put(
                        name,
                        TableCodec.encode(late),
                        cluster.store().find(name).orElseThrow().number());
        restart(cluster, restart);
        second.startServer(true);
        advance(cluster, END_MS);
        return cluster;
    }

    private static void moveRanges(SimulatedCluster cluster, SimulatedHost host) {
        host.announceLeaving();
        advance(cluster, MOVE_MS);
        host.withdrawLeaving();
        advance(cluster, MOVE_MS);
    }

    private static void restart(SimulatedCluster cluster, Restart restart) {
        List<SimulatedHost> hosts = switch (restart) {
            case NONE -> List.of();
            case ONE -> cluster.hosts().subList(2, 3);
            case ALL -> cluster.hosts();
        };
        hosts.forEach(SimulatedHost::killDaemon);
        hosts.forEach(SimulatedHost::startDaemon);
    }

    private static AssignmentTable storedTable(SimulatedCluster cluster) {
        byte[] value = cluster.store()
                .find(ObjectNames.assignments(SimulatedCluster.SERVICE))
                .orElseThrow()
                .value();
        return TableCodec.decode(value);
    }

    /** Gives each range to the owner of another one, as if that had it since the generation of the table. */
    private static AssignmentTable voidTable(AssignmentTable table, int ahead) {
        Generation generation = new Generation(table.generation().value() + ahead);
        List<MemberId> owners = table.assignments().stream()
                .map(RangeAssignment::owner)
                .distinct()
                .sorted()
                .toList();
        List<RangeAssignment> assignments = table.assignments().stream()
                .map(a -> new RangeAssignment(
                        a.range(),
                        owners.get((owners.indexOf(a.owner()) + 1) % owners.size()),
                        generation,
                        List.of(a.owner())))
                .toList();
        return new AssignmentTable(table.service(), generation, assignments);
    }

    private static void advance(SimulatedCluster cluster, long ms) {
        cluster.time().runUntil(() -> false, ms);
    }
}
