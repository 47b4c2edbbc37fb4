package org.coriandercrank.control.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.coriandercrank.control.ControlOptions;
import org.coriandercrank.kernel.id.RequestFingerprint;
import org.coriandercrank.kernel.ownership.RequestQuarantine.Status;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against daemons that do not learn in time that a request has crashed three servers. */
class QuarantineDisseminationTest {
    private static final RequestFingerprint CRASHING = new RequestFingerprint(1);

    /** Time in which all daemons in touch with the store must learn of the third crash. */
    private static final long CONTACT_MS = 3_000;

    private static final String[] PLACES = {
        "r1/a", "r1/a", "r1/b", "r1/b", "r1/b", "r2/c", "r2/c", "r2/d", "r2/d", "r2/d"
    };

    /** Calls of the platform's store are priced, so its watches wait longer. */
    private static final ControlOptions PLATFORM_TIMING = ControlOptions.DEFAULTS
            .withLeaseTiming(3_600, 800, 105)
            .withWatchWaits(2_000, 25_000, 8_000)
            .withWatchIntervals(250, 1_000);

    private final FakeCluster cluster = new FakeCluster(PLACES);

    private void crashServer(int host) {
        FakeHost affected = cluster.host(host);
        affected.control().quarantine().recordCrash(affected.control().self(), List.of(CRASHING));
    }

    private List<Status> statuses() {
        return cluster.hosts().stream()
                .map(host -> host.control().quarantine().status(CRASHING))
                .toList();
    }

    @Test
    void allDaemonsLearnOfTheThirdCrash() {
        crashServer(0);
        crashServer(6);
        cluster.time().runFor(CONTACT_MS);
        assertThat(statuses()).containsOnly(Status.SUSPECT);
        crashServer(2);
        cluster.time().runFor(CONTACT_MS);
        assertThat(statuses()).containsOnly(Status.QUARANTINED);
    }

    @ParameterizedTest
    @EnumSource(
            value = FakeStore.Mode.class,
            names = {"DOWN", "SILENT", "UNANSWERED_WRITES"})
    void crashesDuringAnOutageOfTheStoreAreLearnedAfterIt(FakeStore.Mode outage) {
        cluster.store().setMode(outage);
        crashServer(0);
        crashServer(6);
        crashServer(2);
        cluster.time().runFor(5_000);
        cluster.store().setMode(FakeStore.Mode.UP);
        cluster.time().runFor(CONTACT_MS);
        assertThat(statuses()).containsOnly(Status.QUARANTINED);
    }

    /** Without the relay of a region its daemons got no news of the store for up to 5 s. */
    @Test
    void thirdCrashIsLearnedAlthoughTheRelaysHaveJustFailed() {
        cluster.restartAll(PLATFORM_TIMING, PLACES);
        cluster.time().runFor(30_000);
        crashServer(0);
        crashServer(6);
        cluster.time().runFor(CONTACT_MS);
        List<FakeHost> relays = cluster.hosts().stream()
                .filter(host -> host.control().status().relay())
                .toList();
        assertThat(relays).isNotEmpty();
        relays.forEach(FakeHost::kill);
        int third = relays.contains(cluster.host(2)) ? 3 : 2;
        crashServer(third);
        cluster.time().runFor(CONTACT_MS);
        assertThat(cluster.hosts().stream()
                        .filter(host -> !relays.contains(host))
                        .map(host -> host.control().quarantine().status(CRASHING)))
                .containsOnly(Status.QUARANTINED);
    }

    @Test
    void daemonThatStartsLaterLearnsOfTheCrashes() {
        crashServer(0);
        crashServer(6);
        crashServer(2);
        cluster.time().runFor(CONTACT_MS);
        FakeHost started = cluster.add("r2/c");
        cluster.time().runFor(CONTACT_MS);
        assertThat(started.control().quarantine().status(CRASHING)).isEqualTo(Status.QUARANTINED);
    }

    /** The next member of a host must report again what the previous one reported, whose record is removed. */
    @Test
    void nextMemberOfAHostKeepsTheReports() {
        crashServer(0);
        cluster.time().runFor(CONTACT_MS);
        FakeHost host = cluster.host(0);
        host.control().sealSelf();
        cluster.time().runFor(CONTACT_MS);
        host.control().rejoin();
        cluster.time().runFor(CONTACT_MS);
        assertThat(cluster.record(host.control().self()).orElseThrow().crashReports())
                .isPresent();
    }
}
