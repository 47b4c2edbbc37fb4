package org.coriandercrank.placement.internal;

import java.util.Optional;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Revision;

/**
 * Decides when this daemon reads, takes or renews the planner object.
 *
 * <p>Not thread safe, without I/O. The role only saves work: two daemons that both believe they hold it do no harm,
 * because every write of a planner is conditional. Daemons of low rank read the object often; the others read it
 * seldom, so that the reads at the store do not grow with the fleet.
 */
public final class PlannerElection {
    /** What to do now. */
    public enum Step {
        NONE,
        READ,
        WRITE
    }

    /**
     * Delays in milliseconds. Immutable.
     *
     * @param renewMs period of renewal
     * @param takeAfterMs time without renewal after which the role may be taken
     * @param rankDelayMs additional time per rank
     * @param idleReadMs period of reads by daemons whose rank is not below {@code readers}
     * @param readers number of daemons that read at the period of renewal
     */
    public record Delays(long renewMs, long takeAfterMs, long rankDelayMs, long idleReadMs, int readers) {
        public Delays {
            if (renewMs < 1 || takeAfterMs <= renewMs || rankDelayMs < 0 || idleReadMs < renewMs || readers < 1) {
                throw new IllegalArgumentException("takeAfterMs must exceed renewMs, and both must be positive");
            }
        }
    }

    private final MemberId self;
    private final Delays delays;
    private boolean callOutstanding;
    private boolean held;
    private boolean known;
    private boolean read;
    private Optional<PlannerRecord> record = Optional.empty();
    private Revision revision = Revision.NONE;
    private long unchangedSinceMs;
    private long lastReadMs;
    private long writeSentMs;
    private long renewedMs;

    public PlannerElection(MemberId self, Delays delays) {
        this.self = self;
        this.delays = delays;
    }

    /**
     * @param eligible whether this daemon may hold the role
     * @param rank position of this daemon among the candidates, 0 first
     * @param holderLost whether the holder is known to be sealed or leaving
     */
    public Step next(long nowMs, boolean eligible, int rank, boolean holderLost) {
        if (callOutstanding || !eligible) {
            return Step.NONE;
        }
        if (held) {
            return nowMs - writeSentMs >= delays.renewMs ? Step.WRITE : Step.NONE;
        }
        if (known && mayTake(nowMs, rank, holderLost)) {
            return Step.WRITE;
        }
        long readPeriodMs = rank < delays.readers ? delays.renewMs : delays.idleReadMs;
        return read && nowMs - lastReadMs < readPeriodMs ? Step.NONE : Step.READ;
    }

    /** The read must be as fresh as a reader's, so that a change since then is rarely missed. */
    private boolean mayTake(long nowMs, int rank, boolean holderLost) {
        if (nowMs - lastReadMs > delays.renewMs) {
            return false;
        }
        int delayedRank = Math.min(rank, delays.readers);
        return record.isEmpty()
                || holderLost
                || nowMs - unchangedSinceMs >= delays.takeAfterMs + delayedRank * delays.rankDelayMs;
    }

    public Optional<MemberId> holder() {
        return record.map(PlannerRecord::holder);
    }

    public void readStarted() {
        callOutstanding = true;
    }

    public void readDone(Optional<PlannerRecord> found, Revision foundRevision, long nowMs) {
        callOutstanding = false;
        read = true;
        lastReadMs = nowMs;
        if (!known || !found.equals(record)) {
            unchangedSinceMs = nowMs;
        }
        known = true;
        record = found;
        revision = foundRevision;
        held = found.isPresent() && found.get().holder().equals(self);
        if (held) {
            renewedMs = Math.max(renewedMs, writeSentMs);
        }
    }

    /** The next read keeps its period, so that an outage of the store does not multiply the reads. */
    public void callFailed(long nowMs) {
        callOutstanding = false;
        read = true;
        lastReadMs = nowMs;
        held = false;
        known = false;
    }

    /** Starts a write; the caller writes the record if the object still has {@link #revision()}. */
    public PlannerRecord writeStarted(long nowMs) {
        callOutstanding = true;
        writeSentMs = nowMs;
        return new PlannerRecord(self, record.map(PlannerRecord::counter).orElse(0L) + 1);
    }

    public Revision revision() {
        return revision;
    }

    public void writeDone(PlannerRecord written, Revision newRevision) {
        callOutstanding = false;
        held = true;
        record = Optional.of(written);
        revision = newRevision;
        renewedMs = writeSentMs;
    }

    /** Whether this daemon holds the role; false once the last renewal is so old that another may have taken it. */
    public boolean isHolder(long nowMs) {
        return held && nowMs - renewedMs < delays.takeAfterMs;
    }
}
