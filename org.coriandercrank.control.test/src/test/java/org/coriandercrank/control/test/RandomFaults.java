package org.coriandercrank.control.test;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.coriandercrank.control.ControlOptions;
import org.coriandercrank.kernel.config.AcceptedNote;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.id.NoteId;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;

/** A random series of changes of the configuration, faults of the store and faults of hosts. Not thread safe. */
final class RandomFaults {
    /** A confirmed version of the configuration. */
    record Change(long atMs, Revision revision) {}

    private enum StoreFault {
        SILENT,
        DOWN,
        WITHHOLDS_CHANGES,
        SLOW
    }

    private enum HostFault {
        KILLED,
        CUT_OFF,
        PAUSED
    }

    private static final int MAX_STORE_FAULT_MS = 3_000;
    private static final int MIN_SLOW_MS = 300;
    private static final int MAX_SLOW_MS = 2_000;
    private static final int MAX_STORE_GAP_MS = 14_000;
    private static final int MAX_HOST_FAULT_MS = 4_000;
    private static final int MAX_HOST_GAP_MS = 9_000;
    private static final int MAX_CHANGE_GAP_MS = 5_000;

    /** Time in which a daemon that returns lists the store and hears from its peers. */
    private static final int RETURN_MS = 1_000;

    private final FakeCluster cluster;
    private final ControlOptions options;
    private final String[] locations;
    private final Random random;
    private final List<Change> changes = new ArrayList<>();
    private final List<String> log = new ArrayList<>();
    private final long[] connectedSinceMs;
    private long nextChangeMs;
    private long nextStoreFaultMs;
    private long nextHostFaultMs;
    private long storeFaultEndMs;
    private int restarts;

    RandomFaults(FakeCluster cluster, ControlOptions options, String[] locations, Random random) {
        this.cluster = cluster;
        this.options = options;
        this.locations = locations.clone();
        this.random = random;
        connectedSinceMs = new long[locations.length];
        long nowMs = cluster.time().nowMs();
        nextChangeMs = nowMs + random.nextInt(MAX_CHANGE_GAP_MS);
        nextStoreFaultMs = nowMs + random.nextInt(MAX_STORE_GAP_MS);
        nextHostFaultMs = nowMs + random.nextInt(MAX_HOST_GAP_MS);
    }

    /** Begins what is due. */
    void step() {
        long nowMs = cluster.time().nowMs();
        if (nowMs >= nextStoreFaultMs) {
            beginStoreFault(nowMs);
        }
        if (nowMs >= nextHostFaultMs) {
            nextHostFaultMs = nowMs + random.nextInt(MAX_HOST_GAP_MS);
            beginHostFault(nowMs);
        }
        if (nowMs >= nextChangeMs) {
            nextChangeMs = nowMs + 1 + random.nextInt(MAX_CHANGE_GAP_MS);
            Configuration changed = new Configuration(
                    List.of(), List.of(), List.of(new AcceptedNote(new NoteId("note"), Revision.NONE, List.of())));
            changes.add(new Change(
                    nowMs, cluster.store().putUnconditionally(ObjectNames.CONFIGURATION, JsonCodec.encode(changed))));
        }
    }

    List<Change> changes() {
        return changes;
    }

    List<String> log() {
        return log;
    }

    /** Returns when the present or last fault of the store ends, including its last slow answer. */
    long lastFaultEndMs() {
        return storeFaultEndMs;
    }

    /** Returns from when on a host takes part without a fault of its own; in the future while it has one. */
    long connectedSinceMs(int host) {
        return connectedSinceMs[host];
    }

    private void beginStoreFault(long nowMs) {
        StoreFault fault = StoreFault.values()[random.nextInt(StoreFault.values().length)];
        int durationMs = 1 + random.nextInt(MAX_STORE_FAULT_MS);
        int latencyMs = 0;
        switch (fault) {
            case SILENT -> cluster.store().setMode(FakeStore.Mode.SILENT);
            case DOWN -> cluster.store().setMode(FakeStore.Mode.DOWN);
            case WITHHOLDS_CHANGES -> cluster.store().setMode(FakeStore.Mode.WITHHOLDS_CHANGES);
            case SLOW -> {
                latencyMs = MIN_SLOW_MS + random.nextInt(MAX_SLOW_MS - MIN_SLOW_MS);
                cluster.store().setLatencyMs(latencyMs);
            }
        }
        log.add(nowMs + ": store " + fault + " for " + durationMs + " ms, latency " + latencyMs);
        storeFaultEndMs = nowMs + durationMs + latencyMs;
        nextStoreFaultMs = storeFaultEndMs + random.nextInt(MAX_STORE_GAP_MS);
        cluster.time().schedule(durationMs, cluster.store()::restore);
    }

    private void beginHostFault(long nowMs) {
        boolean ofRelay = random.nextBoolean();
        int[] candidates = IntStream.range(0, locations.length)
                .filter(i -> connectedSinceMs[i] <= nowMs)
                .filter(i -> !ofRelay || cluster.host(i).control().status().relay())
                .toArray();
        if (candidates.length == 0) {
            return;
        }
        int index = candidates[random.nextInt(candidates.length)];
        HostFault fault = HostFault.values()[random.nextInt(HostFault.values().length)];
        int durationMs = 1 + random.nextInt(MAX_HOST_FAULT_MS);
        connectedSinceMs[index] = nowMs + durationMs + RETURN_MS;
        log.add(nowMs + ": host " + index + " " + fault + " for " + durationMs + " ms, relay="
                + cluster.host(index).control().status().relay());
        FakeHost host = cluster.host(index);
        switch (fault) {
            case KILLED -> {
                host.kill();
                restarts++;
                int seed = 10_000 + restarts;
                cluster.time().schedule(durationMs, () -> cluster.restart(host, options, locations[index], seed));
            }
            case CUT_OFF -> {
                host.setDisconnected(true);
                cluster.time().schedule(durationMs, () -> host.setDisconnected(false));
            }
            case PAUSED -> {
                host.pause();
                cluster.time().schedule(durationMs, host::resume);
            }
        }
    }
}
