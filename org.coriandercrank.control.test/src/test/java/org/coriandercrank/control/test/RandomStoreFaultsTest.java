package org.coriandercrank.control.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.coriandercrank.control.ControlOptions;
import org.coriandercrank.kernel.id.Revision;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against daemons that stay on an older configuration after any series of faults of the store and of hosts, and
 * against calls of the store that grow with the faults. Virtual time; a failing seed can be played again alone with
 * {@code -Dcontrol.faults.first=SEED -Dcontrol.faults.seeds=1}.
 */
class RandomStoreFaultsTest {
    private static final int FIRST_SEED = Integer.getInteger("control.faults.first", 1);
    private static final int SEEDS = Integer.getInteger("control.faults.seeds", 12);

    private static final int MIN_HOSTS = 12;
    private static final int MAX_HOSTS = 32;
    private static final int MAX_REGIONS = 4;
    private static final int MAX_SETTLING_MS = 30_000;
    private static final int MIN_SETTLING_MS = 12_000;
    private static final int PLAY_MS = 90_000;
    private static final int STEP_MS = 20;

    /** Mean number of calls per host and second over all of a play, and the largest of any ten seconds. */
    private static final double MAX_MEAN_CALLS = 2;

    private static final double MAX_PEAK_CALLS = 4;
    private static final int PEAK_WINDOW_MS = 10_000;

    /** The options of the users' platform. */
    private static final ControlOptions OPTIONS = ControlOptions.DEFAULTS
            .withLeaseTiming(3_600, 800, 105)
            .withWatchWaits(2_000, 25_000, 8_000)
            .withWatchIntervals(250, 1_000);

    static IntStream seeds() {
        return IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void everyVersionIsInForceInTimeOnEveryHost(int seed) {
        Random random = new Random(seed);
        int hosts = between(random, MIN_HOSTS, MAX_HOSTS);
        int regions = between(random, 1, MAX_REGIONS);
        String[] locations = IntStream.range(0, hosts)
                .mapToObj(i -> "r" + i % regions + "/d" + i / regions % 2)
                .toArray(String[]::new);
        FakeCluster cluster = new FakeCluster();
        cluster.restartAll(OPTIONS, locations);
        cluster.time().runFor(between(random, MIN_SETTLING_MS, MAX_SETTLING_MS));
        RandomFaults faults = new RandomFaults(cluster, OPTIONS, locations, random);
        InForceCheck check = new InForceCheck(cluster, faults);
        List<Long> callsAt = new ArrayList<>();
        long firstCalls = cluster.store().calls();
        for (int playedMs = 0; playedMs < PLAY_MS; playedMs += STEP_MS) {
            faults.step();
            cluster.time().runFor(STEP_MS);
            check.step();
            callsAt.add(cluster.store().calls());
        }
        double mean = (cluster.store().calls() - firstCalls) * 1_000.0 / PLAY_MS / hosts;
        double peak = peakCalls(callsAt) / hosts;
        System.out.printf(
                "random faults: seed=%d hosts=%d regions=%d versions=%d latestMs=%d mean=%.2f peak=%.2f broken=%d%n",
                seed,
                hosts,
                regions,
                check.versions(),
                check.latestMs(),
                mean,
                peak,
                check.broken().size());
        assertThat(check.broken()).as("seed %d, faults %s", seed, faults.log()).isEmpty();
        assertThat(mean).as("calls per host and second, seed %d", seed).isLessThan(MAX_MEAN_CALLS);
        assertThat(peak).as("peak of calls per host and second, seed %d", seed).isLessThan(MAX_PEAK_CALLS);
    }

    private static double peakCalls(List<Long> callsAt) {
        int window = PEAK_WINDOW_MS / STEP_MS;
        return IntStream.range(window, callsAt.size())
                        .mapToLong(i -> callsAt.get(i) - callsAt.get(i - window))
                        .max()
                        .orElse(0)
                * 1_000.0
                / PEAK_WINDOW_MS;
    }

    private static int between(Random random, int min, int max) {
        return min + random.nextInt(max - min + 1);
    }

    /** Checks the versions in force on each host after each step. */
    private static final class InForceCheck {
        private static final long LIMIT_MS = 2_500;
        private static final long UNSTABLE_AFTER_MS = 3_000;
        private static final long FAULT_BEFORE_MS = 5_000;

        private final FakeCluster cluster;
        private final RandomFaults faults;
        private final Revision[] highest;
        private final List<String> broken = new ArrayList<>();
        private final long[] reportedVersions;
        private long latestMs;

        InForceCheck(FakeCluster cluster, RandomFaults faults) {
            this.cluster = cluster;
            this.faults = faults;
            this.highest = new Revision[cluster.hosts().size()];
            this.reportedVersions = new long[highest.length];
        }

        void step() {
            long nowMs = cluster.time().nowMs();
            for (int i = 0; i < highest.length; i++) {
                if (faults.connectedSinceMs(i) > nowMs) {
                    highest[i] = null;
                    continue;
                }
                Revision revision =
                        cluster.host(i).control().routing().current().configurationRevision();
                if (highest[i] != null && highest[i].isNewerThan(revision)) {
                    broken.add(nowMs + ": host " + i + " went back from " + highest[i] + " to " + revision);
                }
                highest[i] = revision;
                checkInForce(i, revision, nowMs);
            }
        }

        private void checkInForce(int host, Revision revision, long nowMs) {
            for (RandomFaults.Change change : faults.changes()) {
                if (!change.revision().isNewerThan(revision)) {
                    continue;
                }
                long sinceMs = Math.max(change.atMs(), faults.connectedSinceMs(host));
                boolean unstable = faults.lastFaultEndMs() >= change.atMs() - FAULT_BEFORE_MS;
                long dueMs = unstable
                        ? Math.max(sinceMs, faults.lastFaultEndMs() + UNSTABLE_AFTER_MS) + LIMIT_MS
                        : sinceMs + LIMIT_MS;
                if (!unstable) {
                    latestMs = Math.max(latestMs, nowMs - sinceMs);
                }
                if (nowMs > dueMs && reportedVersions[host] < change.atMs()) {
                    reportedVersions[host] = change.atMs();
                    broken.add(nowMs + ": host " + host + " relay="
                            + cluster.host(host).control().status().relay() + " has " + revision + ", not "
                            + change.revision() + " of " + change.atMs() + ", due at " + dueMs);
                }
                return;
            }
        }

        List<String> broken() {
            return broken;
        }

        int versions() {
            return faults.changes().size();
        }

        long latestMs() {
            return latestMs;
        }
    }
}
