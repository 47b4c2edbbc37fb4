package org.coriandercrank.control.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a daemon that acts on the older configuration of a store that has returned from a copy, although the
 * other daemons keep the newer one in force. Virtual time.
 */
class LostConfigurationTest {
    private static final long KNOWN_TO_ALL_MS = 2_000;
    private static final long IN_FORCE_LIMIT_MS = 60;

    /** Members that no longer live do not delay the answer of one that knows the configuration. */
    private static final long TOGETHER_LIMIT_MS = 1_000;

    private static final long OBSERVATION_MS = 30_000;

    private final FakeCluster cluster = new FakeCluster("a/1", "a/2", "a/3", "b/1", "b/2", "b/3");

    @Test
    void hostThatStartsBeforeOthersKnowTheEraTakesTheirConfiguration() {
        FakeStore.Copy copy = copyBeforeVersion7();
        cluster.store().returnFrom(copy);
        assertStartedHostTakes(7);
    }

    @Test
    void hostThatStartsAfterOthersKnowTheEraTakesTheirConfiguration() {
        FakeStore.Copy copy = copyBeforeVersion7();
        cluster.store().returnFrom(copy);
        cluster.time().runFor(KNOWN_TO_ALL_MS);
        assertStartedHostTakes(7);
    }

    @Test
    void hostThatStartsAfterTwoReturnsTakesTheConfigurationOfOthers() {
        FakeStore.Copy copy = copyBeforeVersion7();
        cluster.store().returnFrom(copy);
        cluster.time().runFor(KNOWN_TO_ALL_MS);
        cluster.store().returnFrom(copy);
        assertStartedHostTakes(7);
    }

    @Test
    void hostThatStartsAfterASilentReturnTakesTheConfigurationOfOthers() {
        FakeStore.Copy copy = copyBeforeVersion7();
        cluster.store().setMode(FakeStore.Mode.SILENT);
        cluster.time().runFor(1_000);
        cluster.store().returnFrom(copy);
        cluster.store().setMode(FakeStore.Mode.UP);
        assertStartedHostTakes(7);
    }

    @Test
    void hostThatStartsAfterTheStoreLostAnyConfigurationTakesThatOfOthers() {
        FakeStore.Copy copy = cluster.store().copy();
        write(7);
        cluster.time().runFor(KNOWN_TO_ALL_MS);
        cluster.store().returnFrom(copy);
        assertStartedHostTakes(7);
    }

    /** All daemons use the object of the new era, so that a later change of the operator is compared with it. */
    @Test
    void configurationThatTheStoreHasKeptIsUsedInTheNewEra() {
        copyBeforeVersion7();
        cluster.store().returnFrom(cluster.store().copy());
        cluster.time().runFor(KNOWN_TO_ALL_MS);
        FakeHost started = cluster.add("a/1");
        cluster.time().runFor(OBSERVATION_MS);
        assertThat(version(started)).isEqualTo(7);
        assertThat(cluster.hosts())
                .allMatch(host -> host.control()
                        .routing()
                        .current()
                        .configurationRevision()
                        .era()
                        .equals(new Era(1)));
    }

    /** Most members that the started hosts ask do not know the configuration either; those that take it pass it on. */
    @ParameterizedTest
    @ValueSource(ints = {1, 8, 14})
    void hostsThatStartTogetherTakeTheConfigurationOfTheOthers(int survivors) {
        for (int i = 0; i < 14; i++) {
            cluster.add((i % 2 == 0 ? "a/" : "b/") + i % 3);
        }
        int before = cluster.hosts().size();
        cluster.time().runFor(KNOWN_TO_ALL_MS);
        FakeStore.Copy copy = copyBeforeVersion7();
        for (int i = survivors; i < before; i++) {
            cluster.host(i).kill();
        }
        cluster.store().returnFrom(copy);
        for (int i = survivors; i < before; i++) {
            cluster.add((i % 2 == 0 ? "a/" : "b/") + i % 3);
        }
        List<FakeHost> started = cluster.hosts().subList(before, cluster.hosts().size());
        long tookMs =
                cluster.time().runUntil(() -> started.stream().allMatch(host -> version(host) == 7), OBSERVATION_MS);
        assertThat(tookMs).isBetween(0L, TOGETHER_LIMIT_MS);
    }

    @Test
    void laterConfigurationOfTheStoreReplacesTheOneOfOthers() {
        FakeStore.Copy copy = copyBeforeVersion7();
        cluster.store().returnFrom(copy);
        FakeHost started = assertStartedHostTakes(7);
        Revision again = write(7);
        cluster.time().runFor(KNOWN_TO_ALL_MS);
        assertThat(cluster.hosts())
                .allMatch(host -> host.control()
                        .routing()
                        .current()
                        .configurationRevision()
                        .equals(again));
        write(8);
        cluster.time().runFor(KNOWN_TO_ALL_MS);
        assertThat(version(started)).isEqualTo(8);
    }

    /** Without versions nobody knows which configuration is newer, so the one of the store is in force. */
    @Test
    void configurationWithoutVersionIsThatOfTheStore() {
        Revision stored = write(0);
        FakeStore.Copy copy = cluster.store().copy();
        write(0);
        cluster.time().runFor(KNOWN_TO_ALL_MS);
        cluster.store().returnFrom(copy);
        cluster.add("a/1");
        cluster.time().runFor(OBSERVATION_MS);
        assertThat(cluster.hosts())
                .allMatch(host -> host.control()
                                .routing()
                                .current()
                                .configurationRevision()
                                .number()
                        == stored.number());
    }

    private FakeStore.Copy copyBeforeVersion7() {
        write(5);
        cluster.time().runFor(KNOWN_TO_ALL_MS);
        FakeStore.Copy copy = cluster.store().copy();
        write(7);
        cluster.time().runFor(KNOWN_TO_ALL_MS);
        assertThat(cluster.hosts()).allMatch(host -> version(host) == 7);
        return copy;
    }

    private FakeHost assertStartedHostTakes(long version) {
        FakeHost started = cluster.add("a/1");
        long listedMs = cluster.time().runUntil(() -> version(started) > 0, OBSERVATION_MS);
        long tookMs = cluster.time().runUntil(() -> version(started) == version, OBSERVATION_MS);
        assertThat(listedMs).isNotNegative();
        assertThat(tookMs).as("time on the older configuration in ms").isBetween(0L, IN_FORCE_LIMIT_MS);
        cluster.time().runFor(OBSERVATION_MS);
        assertThat(cluster.hosts()).allMatch(host -> version(host) == version);
        return started;
    }

    private Revision write(long version) {
        return cluster.store()
                .putUnconditionally(
                        ObjectNames.CONFIGURATION, JsonCodec.encode(Configuration.EMPTY.withVersion(version)));
    }

    private static long version(FakeHost host) {
        return host.control().routing().current().configuration().version();
    }
}
