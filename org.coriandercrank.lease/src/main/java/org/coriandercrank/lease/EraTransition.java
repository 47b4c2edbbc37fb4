package org.coriandercrank.lease;

import java.util.Optional;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Revision;

/**
 * The latest era of the store that a daemon knows, and what it must not do while the era is new to it.
 *
 * <p>When the store returns from an older copy, records of members may be missing or older than their members know. A
 * witness therefore stops to vote for a member whose latest record is lost, so that the lease of a member that cannot
 * write its record again ends. Nobody is sealed, and no range is given away, before these votes have expired; until then
 * the era is not settled.
 *
 * <p>The era never decreases. Not thread safe. All times are in nanoseconds of the same monotonic clock.
 */
public final class EraTransition {
    private final LeaseTiming timing;
    private final long spreadNanos;
    private Era era = Era.NONE;
    private long sinceNanos;

    /** @param spreadNanos time in which all daemons that run learn of an era, from the store or from others */
    public EraTransition(LeaseTiming timing, long spreadNanos) {
        this.timing = timing;
        this.spreadNanos = spreadNanos;
    }

    public Era era() {
        return era;
    }

    /** Notes an era that the store or another daemon has named; returns whether it is newer than the known one. */
    public boolean observe(Era observed, long nowNanos) {
        if (!observed.isNewerThan(era)) {
            return false;
        }
        era = observed;
        sinceNanos = nowNanos;
        return true;
    }

    /** Whether every member that lives and reaches the store has had time to write its record in this era. */
    public boolean isSettled(long nowNanos) {
        return era.equals(Era.NONE) || nowNanos - sinceNanos > spreadNanos + timing.expiryNanos();
    }

    /**
     * Whether a witness may acknowledge a heartbeat. There is no grace for a witness that learns of the era late, because
     * others count from when they learned of it.
     *
     * @param named record revision that the heartbeat names
     * @param stored revision of the member's record according to the witness; empty if it knows no record
     */
    public boolean mayAcknowledge(Revision named, Optional<Revision> stored) {
        return !era.isNewerThan(named.era()) || stored.equals(Optional.of(Revision.of(era, named.number())));
    }
}
