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
 * Polls the status endpoints of all daemons and notes each revision of the configuration that goes back. Thread safe.
 *
 * <p>A new incarnation shows revision 0 until it has read the configuration; that is no step back, because its
 * readiness is {@code STARTING}. Any other revision is compared with all that the host has shown before.
 */
final class RevisionMonitor implements AutoCloseable {
    private static final long POLL_INTERVAL_MS = 25;
    private static final ObservedRevision NONE_OBSERVED = new ObservedRevision(null, 0);

    /** The highest revision that a host has shown, and the member that showed a revision last. Immutable. */
    private record ObservedRevision(MemberId member, long revision) {}

    private final TestCluster cluster;
    private final Map<String, ObservedRevision> observedByHost = new HashMap<>();
    private final Set<MemberId> members = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "revision-watch");
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
                    record(host.spec().name(), cluster.status(host));
                } catch (UncheckedIOException | CrankException e) {
                    failedPolls.incrementAndGet();
                }
            }
            TestCluster.sleep(POLL_INTERVAL_MS);
        }
    }

    private synchronized void record(String host, DaemonStatus status) {
        polls++;
        long revision = status.configurationRevision().value();
        ObservedRevision before = observedByHost.getOrDefault(host, NONE_OBSERVED);
        members.add(status.member());
        if (revision < before.revision && (revision > 0 || status.member().equals(before.member))) {
            violations.add(status.member() + " shows " + revision + " after " + before);
        }
        if (revision > 0) {
            observedByHost.put(host, new ObservedRevision(status.member(), Math.max(revision, before.revision)));
        }
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    synchronized int polls() {
        return polls;
    }

    /** Polls without an answer, such as those of a daemon that is starting. */
    int failedPolls() {
        return failedPolls.get();
    }

    /** Members that answered, over all hosts. */
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
