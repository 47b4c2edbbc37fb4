package org.coriandercrank.lease.test;

import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.table.Member;

/** Calls to the simulated store, which are lost, delayed or left without an answer. Not thread safe. */
final class SimulatedStoreCalls {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long TIMEOUT_NANOS = 400 * NANOS_PER_MS;
    private static final long MAX_WRITE_DELAY_NANOS = 6_000 * NANOS_PER_MS;

    private final LeaseSimulation simulation;
    private final SimulatedStore store;
    private final SimulatedProcess storeProcess;
    private final Random random;
    private final Intervals outages;
    private final double lossRate;

    SimulatedStoreCalls(
            LeaseSimulation simulation,
            SimulatedStore store,
            SimulatedProcess storeProcess,
            Random random,
            Intervals outages,
            double lossRate) {
        this.simulation = simulation;
        this.store = store;
        this.storeProcess = storeProcess;
        this.random = random;
        this.outages = outages;
        this.lossRate = lossRate;
    }

    /**
     * Writes the record. As in the client of the store, a write that took effect in another era than that of its
     * condition counts as unanswered.
     */
    void write(
            SimulatedProcess client,
            Member value,
            Revision expected,
            Consumer<Revision> succeeded,
            Runnable conflicted,
            Runnable failed,
            Runnable unanswered) {
        schedule(TIMEOUT_NANOS, client, unanswered);
        boolean lost = simulation.isCutOff(client) || random.nextDouble() < lossRate / 2;
        long delayNanos =
                random.nextInt(8) == 0 ? random.nextLong(MAX_WRITE_DELAY_NANOS) : simulation.messageDelayNanos();
        if (lost && random.nextBoolean()) {
            return;
        }
        schedule(delayNanos, storeProcess, () -> {
            if (outages.contains(simulation.nowNanos()) && random.nextBoolean()) {
                schedule(simulation.messageDelayNanos(), client, failed);
                return;
            }
            Optional<Revision> revision = store.write(value, expected);
            boolean otherEra = revision.isPresent()
                    && !expected.equals(Revision.NONE)
                    && !revision.get().era().equals(expected.era());
            if (!lost && !otherEra) {
                schedule(simulation.messageDelayNanos(), client, () -> revision.ifPresentOrElse(succeeded, conflicted));
            }
        });
    }

    /** Reads the record. */
    void read(SimulatedProcess client, Consumer<Optional<VersionedMember>> succeeded, Runnable failed) {
        schedule(TIMEOUT_NANOS, client, failed);
        if (random.nextDouble() < lossRate || simulation.isCutOff(client)) {
            return;
        }
        schedule(simulation.messageDelayNanos(), storeProcess, () -> {
            if (!outages.contains(simulation.nowNanos())) {
                Optional<VersionedMember> found = store.read();
                schedule(simulation.messageDelayNanos(), client, () -> succeeded.accept(found));
            }
        });
    }

    private void schedule(long delayNanos, SimulatedProcess process, Runnable task) {
        simulation.schedule(simulation.nowNanos() + delayNanos, process, task);
    }
}
