package org.coriandercrank.lease;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.coriandercrank.kernel.id.BootId;
import org.coriandercrank.kernel.id.MemberId;

/**
 * Processes of the witnesses of one holder, as far as their answers show.
 *
 * <p>A process is cleared if no earlier process of its witness can have refused the record of the holder at its present
 * revision or a newer one. The holder has evidence of that for a time t on its own clock: an acknowledgement of a
 * heartbeat that it sent at t, or a write of its record that it sent at t. No witness refuses the member within the
 * expiry time after an acknowledgement or after its own start, and no taker requests a refusal within the expiry time
 * after the write of the record. So a process is cleared if it started, and all earlier ones had ended, less than the
 * TTL after t; the excess of the expiry time over the TTL covers clock drift.
 *
 * <p>Not thread safe. Times are monotonic, in nanoseconds.
 */
final class WitnessBoots {
    private static final class Entry {
        private final BootId boot;
        private long startedBeforeNanos;
        private boolean cleared;

        Entry(BootId boot, long startedBeforeNanos) {
            this.boot = boot;
            this.startedBeforeNanos = startedBeforeNanos;
        }
    }

    private final LeaseTiming timing;
    private final Map<MemberId, Entry> latest = new HashMap<>();

    /** Heartbeat to which each witness last answered with its process; answers to earlier ones are outdated. */
    private final Map<MemberId, Long> answeredSequences = new HashMap<>();

    WitnessBoots(LeaseTiming timing) {
        this.timing = timing;
    }

    /** Returns the process that heartbeats to a witness name; {@link BootId#NONE} if none is cleared. */
    BootId clearedBoot(MemberId witness) {
        Entry process = latest.get(witness);
        return process != null && process.cleared ? process.boot : BootId.NONE;
    }

    /**
     * Records the process that answered a heartbeat.
     *
     * @param uptimeNanos time since the start of the process, on its own clock
     * @return whether it is the latest known process of the witness and is not cleared
     */
    boolean observe(MemberId witness, long sequence, BootId boot, long uptimeNanos, long nowNanos) {
        if (sequence <= answeredSequences.getOrDefault(witness, Long.MIN_VALUE)) {
            return false;
        }
        answeredSequences.put(witness, sequence);
        long startedBeforeNanos = nowNanos - withoutMargin(uptimeNanos);
        Entry known = latest.get(witness);
        if (known == null || !known.boot.equals(boot)) {
            known = new Entry(boot, startedBeforeNanos);
            latest.put(witness, known);
        }
        known.startedBeforeNanos = Nanos.earlier(known.startedBeforeNanos, startedBeforeNanos);
        return !known.cleared;
    }

    /**
     * Clears the latest process of a witness if it started early enough after the evidence.
     *
     * @return whether it is cleared
     */
    boolean clear(MemberId witness, long evidenceNanos) {
        Entry process = latest.get(witness);
        process.cleared |= process.startedBeforeNanos - evidenceNanos <= timing.ttlNanos();
        return process.cleared;
    }

    /** Returns the witnesses whose latest process is not cleared. */
    List<MemberId> uncleared() {
        return latest.keySet().stream()
                .filter(witness -> !latest.get(witness).cleared)
                .sorted()
                .toList();
    }

    /** Forgets the processes of all members that are not in the set. */
    void retain(Set<MemberId> witnesses) {
        latest.keySet().retainAll(witnesses);
        answeredSequences.keySet().retainAll(witnesses);
    }

    /** Returns the shortest time on the clock of the holder during which another clock can advance by the given time. */
    private long withoutMargin(long otherNanos) {
        return (long) (otherNanos * ((double) timing.ttlNanos() / timing.expiryNanos()));
    }
}
