package org.coriandercrank.control.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.coriandercrank.control.ControlOptions;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.store.ObjectNames;
import org.junit.jupiter.api.Test;

/**
 * Guards against evacuations that daemons do not learn of in time, forget, or take from an entry that cannot be read.
 * Virtual time.
 */
class EvacuationTest {
    /** Part of the 5 s of the requirement: the gates refuse requests 2 s after that, and the rest is a margin. */
    private static final long KNOWN_LIMIT_MS = 2_000;

    private static final long LOST_RELAY_LIMIT_MS = 8_000;
    private static final long MINUTE_MS = 60_000;
    private static final FailureDomain DOMAIN = new FailureDomain("r1-a");
    private static final String ENTRY = ObjectNames.evacuation(DOMAIN);

    /** The options of the users' platform, with evacuations. */
    private static final ControlOptions OPTIONS = ControlOptions.DEFAULTS
            .withLeaseTiming(3_600, 800, 105)
            .withWatchWaits(2_000, 25_000, 8_000)
            .withWatchIntervals(250, 1_000)
            .withEvacuationsRead(true);

    private final FakeCluster cluster = new FakeCluster();

    private void start(ControlOptions options) {
        for (int i = 0; i < 24; i++) {
            cluster.add("r" + (1 + i % 2) + "/" + (i / 2 % 2 == 0 ? "a" : "b"), options);
            cluster.time().runFor(20);
        }
        cluster.time().runFor(15_000);
    }

    private void begin() {
        cluster.store().putUnconditionally(ENTRY, "{}".getBytes(StandardCharsets.UTF_8));
    }

    private long waitUntilKnown(List<FakeHost> hosts, Set<FailureDomain> domains) {
        return cluster.time()
                .runUntil(() -> hosts.stream().allMatch(host -> evacuated(host).equals(domains)), 60_000);
    }

    private static Set<FailureDomain> evacuated(FakeHost host) {
        return host.control().routing().current().evacuatedDomains();
    }

    @Test
    void allDaemonsLearnOfTheBeginAndTheEnd() {
        start(OPTIONS);
        assertThat(evacuated(cluster.host(0))).isEmpty();
        begin();
        assertThat(waitUntilKnown(cluster.hosts(), Set.of(DOMAIN))).isBetween(0L, KNOWN_LIMIT_MS);
        cluster.store().deleteUnconditionally(ENTRY);
        assertThat(waitUntilKnown(cluster.hosts(), Set.of())).isBetween(0L, KNOWN_LIMIT_MS);
    }

    @Test
    void daemonThatStartsDuringAnEvacuationKnowsItBeforeItJoins() {
        start(OPTIONS);
        begin();
        waitUntilKnown(cluster.hosts(), Set.of(DOMAIN));
        FakeHost started = cluster.add("r1/a", OPTIONS);
        cluster.time().runUntil(() -> cluster.record(started.control().self()).isPresent(), 20_000);
        assertThat(cluster.record(started.control().self())).isPresent();
        assertThat(evacuated(started)).containsExactly(DOMAIN);
    }

    @Test
    void evacuationStaysInForceWhileTheStoreIsDown() {
        start(OPTIONS);
        begin();
        waitUntilKnown(cluster.hosts(), Set.of(DOMAIN));
        cluster.store().setMode(FakeStore.Mode.DOWN);
        cluster.time().runFor(MINUTE_MS);
        assertThat(cluster.hosts()).allMatch(host -> evacuated(host).equals(Set.of(DOMAIN)));
        cluster.store().setMode(FakeStore.Mode.UP);
        cluster.store().deleteUnconditionally(ENTRY);
        assertThat(waitUntilKnown(cluster.hosts(), Set.of())).isNotNegative();
    }

    @Test
    void daemonsLearnOfTheEntryAfterBothRelaysFail() {
        start(OPTIONS);
        List<FakeHost> relays = cluster.hosts().stream()
                .filter(host -> host.control().status().relay())
                .toList();
        relays.forEach(FakeHost::kill);
        begin();
        List<FakeHost> others =
                cluster.hosts().stream().filter(host -> !relays.contains(host)).toList();
        assertThat(waitUntilKnown(others, Set.of(DOMAIN))).isBetween(0L, LOST_RELAY_LIMIT_MS);
    }

    @Test
    void unreadableEntriesEvacuateNothing() {
        start(OPTIONS);
        begin();
        waitUntilKnown(cluster.hosts(), Set.of(DOMAIN));
        cluster.store().putUnconditionally(ENTRY, "[1]".getBytes(StandardCharsets.UTF_8));
        cluster.store()
                .putUnconditionally(
                        ObjectNames.EVACUATIONS_PREFIX + "no domain!", "{}".getBytes(StandardCharsets.UTF_8));
        cluster.store()
                .putUnconditionally(
                        ObjectNames.evacuation(new FailureDomain("r2-a")), "not JSON".getBytes(StandardCharsets.UTF_8));
        FailureDomain readable = new FailureDomain("r2-b");
        cluster.store().putUnconditionally(ObjectNames.evacuation(readable), "{}".getBytes(StandardCharsets.UTF_8));
        assertThat(waitUntilKnown(cluster.hosts(), Set.of(readable))).isBetween(0L, KNOWN_LIMIT_MS);
    }

    /** Guards against calls that other deployments pay for, and against a watch at each daemon. */
    @Test
    void onlyRelaysWatchAndOnlyIfTheOptionsSaySo() {
        start(OPTIONS.withEvacuationsRead(false));
        begin();
        cluster.time().runFor(MINUTE_MS);
        assertThat(evacuationCalls()).isZero();
        assertThat(cluster.hosts()).allMatch(host -> evacuated(host).isEmpty());

        FakeCluster other = new FakeCluster();
        for (int i = 0; i < 24; i++) {
            other.add("r" + (1 + i % 2) + "/a", OPTIONS);
            other.time().runFor(20);
        }
        other.time().runFor(MINUTE_MS);
        long before = evacuationCalls(other);
        other.time().runFor(MINUTE_MS);
        assertThat(evacuationCalls(other) - before).isBetween(1L, 2 * 31L);
    }

    private long evacuationCalls() {
        return evacuationCalls(cluster);
    }

    private static long evacuationCalls(FakeCluster of) {
        return of.store().callsByOperation().entrySet().stream()
                .filter(entry -> entry.getKey().contains("evacuations"))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }
}
