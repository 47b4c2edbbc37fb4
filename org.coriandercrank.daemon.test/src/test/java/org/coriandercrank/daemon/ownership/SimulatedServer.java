package org.coriandercrank.daemon.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.coriandercrank.daemon.HeartbeatGrants.Renewal;
import org.coriandercrank.daemon.ServerIncarnation;
import org.coriandercrank.kernel.backend.Grant.GrantedRange;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.ownership.Handover;

/**
 * One incarnation of a backend server. It sends heartbeats to the daemon of its host and holds what the answers grant,
 * each grant until its end, also while the daemon is not running. Not thread safe.
 */
final class SimulatedServer {
    /** A heartbeat; the answer is passed to {@code reply}, or never. */
    record Heartbeat(
            ServerIncarnation server,
            long sequence,
            boolean leaving,
            List<GrantedRange> held,
            List<Handover> released,
            Consumer<Optional<Renewal>> reply) {}

    /** A heartbeat is acknowledged if it is answered within this time; later answers are taken nevertheless. */
    private static final long ACKNOWLEDGEMENT_MS = 1_000;

    private static final long HEARTBEAT_MS = 500;
    private static final long HEARTBEAT_WHILE_RELEASING_MS = 100;
    private static final int MAX_REQUEST_MS = 150;

    /** The daemon counts on clocks of servers that are up to 2.5% slow. */
    private static final double CLOCK_DRIFT_FACTOR = 1.025;

    private final SimulatedTime time;
    private final SimulatedProcess process;
    private final ServerIncarnation incarnation;
    private final HeldKeys heldKeys;
    private final Trace trace;
    private final Random random;
    private final Consumer<Heartbeat> daemon;
    private final Supplier<MessageDelays> delays;
    private final long[] fences = new long[HeldKeys.COUNT];
    private final long[] heldUntilMs = new long[HeldKeys.COUNT];
    private final boolean[] granted = new boolean[HeldKeys.COUNT];
    private final long[] newestSeenFences = new long[HeldKeys.COUNT];

    /** When the server has ended the work on a key that it is to release; 0 if it is not to release the key. */
    private final long[] releasedAtMs = new long[HeldKeys.COUNT];

    /** Releases since the last acknowledged heartbeat. */
    private final List<Handover> released = new ArrayList<>();

    private int releaseCount;
    private long lastSequence;
    private long lastAnsweredSequence;
    private boolean leaving;

    /**
     * @param daemon receives the heartbeats
     * @param delays present delays of heartbeats and their answers
     */
    SimulatedServer(
            SimulatedTime time,
            ServerIncarnation incarnation,
            HeldKeys heldKeys,
            Trace trace,
            Random random,
            Consumer<Heartbeat> daemon,
            Supplier<MessageDelays> delays) {
        this.delays = delays;
        this.time = time;
        this.incarnation = incarnation;
        this.heldKeys = heldKeys;
        this.trace = trace;
        this.random = random;
        this.daemon = daemon;
        process = new SimulatedProcess(time, toString(), trace);
        heldKeys.add(this);
    }

    void start() {
        process.schedule(random.nextInt((int) HEARTBEAT_MS), this::sendHeartbeat);
    }

    SimulatedProcess process() {
        return process;
    }

    ServerIncarnation incarnation() {
        return incarnation;
    }

    void setLeaving(boolean newLeaving) {
        leaving = newLeaving;
    }

    boolean holds(int key) {
        return !process.isKilled() && heldUntilMs[key] > time.nowMs();
    }

    long fence(int key) {
        return fences[key];
    }

    private void sendHeartbeat() {
        long sequence = ++lastSequence;
        long sentAtMs = time.nowMs();
        addReleases();
        List<Handover> listed = List.copyOf(released);
        Consumer<Optional<Renewal>> reply = renewal ->
                time.schedule(latencyMs(), () -> process.run(() -> answered(renewal, sequence, sentAtMs, listed)));
        Heartbeat heartbeat = new Heartbeat(incarnation, sequence, leaving, held(), listed, reply);
        time.schedule(latencyMs(), () -> daemon.accept(heartbeat));
        process.schedule(isReleasing() ? HEARTBEAT_WHILE_RELEASING_MS : HEARTBEAT_MS, this::sendHeartbeat);
    }

    private long latencyMs() {
        return 1L + random.nextInt(2) + delays.get().draw(random);
    }

    private void addReleases() {
        for (int key = 0; key < HeldKeys.COUNT; key++) {
            if (releasedAtMs[key] > 0 && releasedAtMs[key] <= time.nowMs()) {
                releasedAtMs[key] = 0;
                released.add(new Handover(HeldKeys.range(key, key), this + "-" + ++releaseCount));
            }
        }
    }

    private void answered(Optional<Renewal> renewal, long sequence, long sentAtMs, List<Handover> listed) {
        if (time.nowMs() - sentAtMs <= ACKNOWLEDGEMENT_MS) {
            released.removeAll(listed);
        }
        renewal.ifPresent(r -> renewed(r, sequence, sentAtMs));
    }

    private boolean isReleasing() {
        for (int key = 0; key < HeldKeys.COUNT; key++) {
            if (holds(key) && !granted[key]) {
                return true;
            }
        }
        return false;
    }

    /** Returns the held keys, also those whose requests still run, as ranges of the same fence. */
    private List<GrantedRange> held() {
        List<GrantedRange> rows = new ArrayList<>();
        int key = 0;
        while (key < HeldKeys.COUNT) {
            int first = key;
            while (key < HeldKeys.COUNT && holds(key) && fences[key] == fences[first]) {
                key++;
            }
            if (key > first) {
                rows.add(new GrantedRange(HeldKeys.range(first, key - 1), new Generation(fences[first])));
            } else {
                key++;
            }
        }
        return rows;
    }

    private void renewed(Renewal renewal, long sequence, long sentAtMs) {
        if (sequence <= lastAnsweredSequence) {
            return;
        }
        lastAnsweredSequence = sequence;
        long untilMs = sentAtMs + (long) (renewal.validityMs() / CLOCK_DRIFT_FACTOR);
        long[] newFences = new long[HeldKeys.COUNT];
        for (GrantedRange row : renewal.ranges()) {
            if (isAccepted(row)) {
                for (int key = HeldKeys.firstKey(row.range()); key <= HeldKeys.lastKey(row.range()); key++) {
                    newFences[key] = row.fence().value();
                }
            }
        }
        for (int key = 0; key < HeldKeys.COUNT; key++) {
            if (newFences[key] > 0) {
                hold(key, newFences[key], untilMs);
            } else if (granted[key]) {
                release(key);
            }
        }
    }

    /** Releases a key after the work on it; an expired key is not listed as released. */
    private void release(int key) {
        granted[key] = false;
        long endMs = time.nowMs() + random.nextInt(MAX_REQUEST_MS);
        if (heldUntilMs[key] > endMs) {
            heldUntilMs[key] = endMs;
            releasedAtMs[key] = endMs;
        }
        trace.add(() -> this + " releases key " + key + " of fence " + HeldKeys.text(fences[key]));
    }

    /** Rejects a row with a fence below one that the server has seen on one of its keys. */
    private boolean isAccepted(GrantedRange row) {
        for (int key = HeldKeys.firstKey(row.range()); key <= HeldKeys.lastKey(row.range()); key++) {
            if (newestSeenFences[key] > row.fence().value()) {
                trace.add(() -> this + " rejects row " + HeldKeys.firstKey(row.range()) + "-"
                        + HeldKeys.lastKey(row.range()) + " of fence "
                        + HeldKeys.text(row.fence().value()));
                return false;
            }
        }
        return true;
    }

    private void hold(int key, long fence, long untilMs) {
        if (untilMs <= time.nowMs()) {
            return;
        }
        boolean taken = !holds(key);
        boolean raised = fences[key] != fence;
        fences[key] = fence;
        newestSeenFences[key] = fence;
        heldUntilMs[key] = untilMs;
        granted[key] = true;
        releasedAtMs[key] = 0;
        if (taken || raised) {
            trace.add(() -> this + (taken ? " takes key " : " goes on with key ") + key + " under fence "
                    + HeldKeys.text(fence));
        }
        if (taken) {
            heldKeys.taken(this, key, fence);
        } else {
            heldKeys.held(this, key, fence);
        }
    }

    @Override
    public String toString() {
        return "server " + incarnation.id() + "-" + incarnation.bornMs();
    }
}
