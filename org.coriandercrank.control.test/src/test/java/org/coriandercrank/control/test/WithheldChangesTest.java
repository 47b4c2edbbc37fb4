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
import org.coriandercrank.kernel.table.MemberState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a change that is never read again, because the store reported a later position while it withheld the
 * change. Virtual time.
 */
class WithheldChangesTest {
    private static final int HOSTS = 20;
    private static final int REGIONS = 2;
    private static final int RUNS = 10;
    private static final long WITHHELD_MS = 2_500;
    private static final long SETTLED_MS = 12_000;

    /** Runs start at different times of the relays' watches. */
    private static final long PHASE_MS = 350;

    /** Time after the store reports changes again. */
    private static final long IN_FORCE_LIMIT_MS = 2_500;

    /** Member records are read again less often than the configuration. */
    private static final long MEMBER_LIMIT_MS = 8_000;

    private static final ControlOptions OPTIONS = ControlOptions.DEFAULTS
            .withLeaseTiming(3_600, 800, 105)
            .withWatchWaits(2_000, 25_000, 8_000)
            .withWatchIntervals(250, 1_000);

    @ParameterizedTest
    @ValueSource(longs = {0, 1_000})
    void configurationThatTheStoreWithheldComesIntoForce(long changeAfterMs) {
        for (int run = 0; run < RUNS; run++) {
            FakeCluster cluster = startedCluster(run);
            cluster.store().setMode(FakeStore.Mode.WITHHOLDS_CHANGES);
            cluster.time().runFor(changeAfterMs);
            Configuration changed = new Configuration(
                    List.of(), List.of(), List.of(new AcceptedNote(new NoteId("note"), Revision.NONE, List.of())));
            Revision revision =
                    cluster.store().putUnconditionally(ObjectNames.CONFIGURATION, JsonCodec.encode(changed));
            cluster.time().runFor(WITHHELD_MS - changeAfterMs);
            cluster.store().setMode(FakeStore.Mode.UP);
            long tookMs = cluster.time()
                    .runUntil(
                            () -> cluster.hosts().stream()
                                    .allMatch(host -> host.control()
                                            .routing()
                                            .current()
                                            .configurationRevision()
                                            .equals(revision)),
                            60_000);
            assertThat(tookMs).as("run %d", run).isBetween(0L, IN_FORCE_LIMIT_MS);
        }
    }

    /** The record of a host is sealed while the store withholds changes, and nobody is told again. */
    @ParameterizedTest
    @ValueSource(longs = {0, 1_000})
    void memberRecordThatTheStoreWithheldIsKnownToAll(long changeAfterMs) {
        for (int run = 0; run < RUNS; run++) {
            FakeCluster cluster = startedCluster(run);
            FakeHost victim = cluster.host(HOSTS - 1);
            MemberId member = victim.control().self();
            cluster.hosts().remove(victim);
            victim.kill();
            cluster.store().setMode(FakeStore.Mode.WITHHOLDS_CHANGES);
            cluster.time().runFor(changeAfterMs);
            cluster.seal(member);
            cluster.time().runFor(WITHHELD_MS - changeAfterMs);
            cluster.store().setMode(FakeStore.Mode.UP);
            long tookMs = cluster.time()
                    .runUntil(
                            () -> cluster.hosts().stream()
                                    .allMatch(host -> host.control()
                                            .routing()
                                            .current()
                                            .member(member)
                                            .filter(record -> record.state() == MemberState.SEALED)
                                            .isPresent()),
                            60_000);
            assertThat(tookMs).as("run %d", run).isBetween(0L, MEMBER_LIMIT_MS);
        }
    }

    private static FakeCluster startedCluster(int run) {
        String[] locations = IntStream.range(0, HOSTS)
                .mapToObj(i -> "r" + i % REGIONS + "/d" + i / REGIONS % 2)
                .toArray(String[]::new);
        FakeCluster cluster = new FakeCluster();
        cluster.restartAll(OPTIONS, locations);
        cluster.time().runFor(SETTLED_MS + run * PHASE_MS);
        return cluster;
    }
}
