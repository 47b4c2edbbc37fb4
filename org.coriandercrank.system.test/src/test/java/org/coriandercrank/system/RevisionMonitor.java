package org.coriandercrank.system;

import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.status.DaemonStatus;
import org.coriandercrank.testkit.ClusterHost;

/**
 * Polls the status endpoints of all daemons and records a violation whenever the configuration revision of a host
 * decreases. Thread safe.
 *
 * <p>A new incarnation reports revision 0 until it has read the configuration. That is no violation, because its
 * readiness is {@code STARTING}. Any other revision is compared with the highest one that the host has reported.
 */
final class RevisionMonitor implements AutoCloseable {
    private static final long POLL_INTERVAL_MS = 25;
    private static final ObservedRevision NONE_OBSERVED = new ObservedRevision(null, 0);

    /** The highest revision that a host has reported, and the member that reported a revision last. Immutable. */
    private record ObservedRevision(MemberId member, long revision) {}

    private final TestCluster cluster;
    private final Map<String, ObservedRevision> observedByHost = new HashMap<>();
    private final Set<MemberId> members = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "revision-monitor");
    private final AtomicInteger failedPolls = new AtomicInteger();
    private int polls;
    private volatile boolean stopped;

    RevisionMonitor(TestCluster cluster) {
        this.cluster = cluster;
        thread.start();
    }

    private void run() {
        while (!stopped) {
            for (ClusterHost host : cluster.hosts()) {
                try {
                    addObservation(host.spec().name(), cluster.status(host));
                } catch (UncheckedIOException | CrankException e) {
                    failedPolls.incrementAndGet();
                }
            }
            TestCluster.sleep(POLL_INTERVAL_MS);
        }
    }

    private synchronized void addObservation(String host, DaemonStatus status) {
        polls++;
        long revision = status.configurationRevision().value();
        ObservedRevision previous = observedByHost.getOrDefault(host, NONE_OBSERVED);
        members.add(status.member());
        if (revision < previous.revision && (revision > 0 || status.member().equals(previous.member))) {
            violations.add(status.member() + " reports revision " + revision + " after " + previous);
        }
        if (revision > 0) {
            observedByHost.put(host, new ObservedRevision(status.member(), Math.max(revision, previous.revision)));
        }
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    /** Number of polls that were answered. */
    synchronized int polls() {
        return polls;
    }

    /** Number of polls without an answer, for example while a daemon starts. */
    int failedPolls() {
        return failedPolls.get();
    }

    /** Number of distinct members that answered, over all hosts. */
    synchronized int incarnations() {
        return members.size();
    }

    @Override
    public void close() {
        stopped = true;
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
